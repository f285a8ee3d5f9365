/**
 * Whom a node gossips with.
 *
 * Every node computes the same graph from the VM list. In a small fleet everybody is a neighbour of
 * everybody. In a large one, nodes stand on a ring in their data centre and on another ring in their
 * region, each in a different order, so that news crosses a region in a few steps while a node has
 * four neighbours. A few nodes in each data centre stand on two more rings that join the regions.
 */
import type { VmId } from '../core';
import { hashText } from './hashText';
import { rankByRendezvous } from './rendezvous';

/** A node's place. @public */
export interface NodeLocation {
  readonly vmId: VmId;
  readonly dataCentre: string;
  readonly region: string;
}

/** @public */
export interface NeighbourLimits {
  /** Up to this many nodes, all are neighbours. */
  readonly fullMeshNodes: number;
  /** Nodes in each data centre that have neighbours in other regions. */
  readonly gatewaysPerDataCentre: number;
}

/** The two nodes beside `self` on a ring whose order depends on its name. */
function findRingNeighbours(
  ringName: string,
  members: ReadonlyArray<NodeLocation>,
  self: VmId,
): ReadonlyArray<NodeLocation> {
  const ring = members
    .map((place) => ({ place, position: hashText(`${ringName}\n${place.vmId}`) }))
    .sort((a, b) => a.position - b.position || (a.place.vmId < b.place.vmId ? -1 : 1))
    .map(({ place }) => place);
  const index = ring.findIndex((place) => place.vmId === self);
  if (index < 0) return [];
  return [ring.at(index - 1), ring[(index + 1) % ring.length]].filter(
    (place) => place !== undefined,
  );
}

function groupBy(
  nodes: ReadonlyArray<NodeLocation>,
  getGroup: (place: NodeLocation) => string,
): ReadonlyArray<ReadonlyArray<NodeLocation>> {
  const groups = new Map<string, NodeLocation[]>();
  nodes.forEach((place) => {
    const group = getGroup(place);
    groups.set(group, [...(groups.get(group) ?? []), place]);
  });
  return [...groups.values()];
}

function listGateways(nodes: ReadonlyArray<NodeLocation>, perDataCentre: number): typeof nodes {
  return groupBy(nodes, ({ dataCentre }) => dataCentre).flatMap((members) =>
    rankByRendezvous('gateway', members, ({ vmId }) => vmId).slice(0, perDataCentre),
  );
}

/** Neighbours of a node of the list; the relation is symmetric between nodes with the same list. */
export function chooseNeighbours(
  self: NodeLocation,
  nodes: ReadonlyArray<NodeLocation>,
  { fullMeshNodes, gatewaysPerDataCentre }: NeighbourLimits,
): ReadonlyArray<NodeLocation> {
  const listed = nodes.some(({ vmId }) => vmId === self.vmId) ? nodes : [...nodes, self];
  const others = listed.filter(({ vmId }) => vmId !== self.vmId);
  if (listed.length <= fullMeshNodes) return others;
  const dataCentre = listed.filter((place) => place.dataCentre === self.dataCentre);
  const region = listed.filter((place) => place.region === self.region);
  const gateways = listGateways(listed, gatewaysPerDataCentre);
  const chosen = [
    findRingNeighbours('data centre', dataCentre, self.vmId),
    findRingNeighbours('region', region, self.vmId),
    findRingNeighbours('gateways 1', gateways, self.vmId),
    findRingNeighbours('gateways 2', gateways, self.vmId),
  ].flat();
  return others.filter((place) => chosen.includes(place));
}
