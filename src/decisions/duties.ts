/**
 * Chooses the nodes that read a published source and those that poll an endpoint.
 *
 * Both are chosen by rendezvous hashing, without messages between nodes. While the nodes' views
 * differ, a few too many or too few are chosen, which only affects the number of calls.
 */
import type { PublishedSourceName, VmId } from '../core';
import type { NodeLocation } from './neighbours';
import { rankByRendezvous } from './rendezvous';

/** @public */
export interface PollerCandidate extends NodeLocation {
  readonly isServing: boolean;
}

/** Keeps the serving nodes, or all if none serves yet, as at the start of a fleet. */
function preferServing(candidates: ReadonlyArray<PollerCandidate>): typeof candidates {
  const serving = candidates.filter(({ isServing }) => isServing);
  return serving.length > 0 ? serving : candidates;
}

/** Chooses the nodes of a data centre that watch a source. */
export function chooseReaders(
  source: PublishedSourceName,
  dataCentre: string,
  nodes: ReadonlyArray<PollerCandidate>,
  count: number,
): ReadonlyArray<VmId> {
  const local = preferServing(nodes.filter((node) => node.dataCentre === dataCentre));
  return rankByRendezvous(`read ${source}`, local, ({ vmId }) => vmId)
    .slice(0, count)
    .map(({ vmId }) => vmId);
}

/**
 * Chooses nodes to poll an endpoint: of its data centre if there are enough, then of its region.
 */
export function chooseReporters(
  endpoint: { readonly endpointId: string; readonly dataCentre: string; readonly region: string },
  nodes: ReadonlyArray<PollerCandidate>,
  count: number,
): ReadonlyArray<VmId> {
  const scopes = [
    nodes.filter(({ dataCentre }) => dataCentre === endpoint.dataCentre),
    nodes.filter(({ region }) => region === endpoint.region),
    nodes,
  ].map((scope) => scope.filter(({ isServing }) => isServing));
  const scope = scopes.find((candidates) => candidates.length >= count) ?? preferServing(nodes);
  return rankByRendezvous(`report ${endpoint.endpointId}`, scope, ({ vmId }) => vmId)
    .slice(0, count)
    .map(({ vmId }) => vmId);
}
