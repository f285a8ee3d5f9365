/**
 * Chooses the neighbours that a node gossips with.
 *
 * Every node computes the same graph from the VM list. A small fleet is a full mesh. In a large one
 * the nodes of each data centre form a ring, and those of each region another ring in a different
 * order, so that an update crosses a region in a few hops while a node has four neighbours. A few
 * gateways of each data centre form two more rings, which connect the regions.
 */
import type { VmId } from '../core';
import { hashText } from './hashText';
import { rankByRendezvous } from './rendezvous';

/** @public */
export interface NodeLocation {
  readonly vmId: VmId;
  readonly dataCentre: string;
  readonly region: string;
}

/** @public */
export interface NeighbourLimits {
  /** Maximum number of listed nodes for a full mesh. */
  readonly fullMeshNodes: number;
  /** Nodes in each data centre that have neighbours in other regions. */
  readonly gatewaysPerDataCentre: number;
}

/** Returns the two nodes next to `self` on a ring, whose order depends on the ring's name. */
function findRingNeighbours(
  ringName: string,
  members: ReadonlyArray<NodeLocation>,
  self: VmId,
): ReadonlyArray<NodeLocation> {
  const ring = members
    .map((node) => ({ node, position: hashText(`${ringName}\n${node.vmId}`) }))
    .sort((a, b) => a.position - b.position || (a.node.vmId < b.node.vmId ? -1 : 1))
    .map(({ node }) => node);
  const index = ring.findIndex((node) => node.vmId === self);
  if (index < 0) return [];
  return [ring.at(index - 1), ring[(index + 1) % ring.length]].filter((node) => node !== undefined);
}

function groupBy(
  nodes: ReadonlyArray<NodeLocation>,
  getGroup: (node: NodeLocation) => string,
): ReadonlyArray<ReadonlyArray<NodeLocation>> {
  const groups = new Map<string, NodeLocation[]>();
  nodes.forEach((node) => {
    const group = getGroup(node);
    groups.set(group, [...(groups.get(group) ?? []), node]);
  });
  return [...groups.values()];
}

function listGateways(nodes: ReadonlyArray<NodeLocation>, perDataCentre: number): typeof nodes {
  return groupBy(nodes, ({ dataCentre }) => dataCentre).flatMap((members) =>
    rankByRendezvous('gateway', members, ({ vmId }) => vmId).slice(0, perDataCentre),
  );
}

/** Returns the neighbours of a node; the relation is symmetric between nodes with the same list. */
export function chooseNeighbours(
  self: NodeLocation,
  nodes: ReadonlyArray<NodeLocation>,
  { fullMeshNodes, gatewaysPerDataCentre }: NeighbourLimits,
): ReadonlyArray<NodeLocation> {
  const listed = nodes.some(({ vmId }) => vmId === self.vmId) ? nodes : [...nodes, self];
  const others = listed.filter(({ vmId }) => vmId !== self.vmId);
  if (listed.length <= fullMeshNodes) return others;
  const dataCentre = listed.filter((node) => node.dataCentre === self.dataCentre);
  const region = listed.filter((node) => node.region === self.region);
  const gateways = listGateways(listed, gatewaysPerDataCentre);
  const chosen = [
    findRingNeighbours('data centre', dataCentre, self.vmId),
    findRingNeighbours('region', region, self.vmId),
    findRingNeighbours('gateways 1', gateways, self.vmId),
    findRingNeighbours('gateways 2', gateways, self.vmId),
  ].flat();
  return others.filter((node) => chosen.includes(node));
}
