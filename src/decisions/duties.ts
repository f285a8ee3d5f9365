/**
 * Which nodes read a published source and which poll an endpoint.
 *
 * Both are chosen by rendezvous hash, so no node has to be told. Nodes whose views differ for a
 * while choose a few too many or too few, which costs some calls and nothing else.
 */
import type { PublishedSourceName, VmId } from '../core';
import type { NodeLocation } from './neighbours';
import { rankByRendezvous } from './rendezvous';

/** @public */
export interface PollerCandidate extends NodeLocation {
  readonly isServing: boolean;
}

/** Prefers nodes that serve; with none, such as at the start of a fleet, all are candidates. */
function preferServing(candidates: ReadonlyArray<PollerCandidate>): typeof candidates {
  const serving = candidates.filter(({ isServing }) => isServing);
  return serving.length > 0 ? serving : candidates;
}

/** Nodes of a data centre that keep watch on a source. */
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

/** Nodes that poll an endpoint: of its data centre if there are enough, then of its region. */
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
