/**
 * Whether this node reaches the endpoints of a service, and through which other node a request goes
 * while it reaches none.
 *
 * Only the opening of connections counts: an endpoint that is overloaded, silent or answers with errors
 * still accepts them, and one endpoint that accepts shows that the network is there.
 */
import type { VmId } from '../core';

export const REACH_OPTIONS = {
  /** Endpoints of a service that are probed at once to find out whether any accepts a connection. */
  maxProbedEndpoints: 8,
  /** The same for the second try, as most endpoints of a large service may be down. */
  maxProbedInDoubt: 64,
  /** The same while none accepts, so that many nodes don't crowd endpoints that start again. */
  maxProbedToRegain: 4,
  /** Other endpoints, none of which accepts, that make a cut more likely than crashes of all. */
  minEndpointsOfCut: 3,
  /**
   * Time since an answer in which refused connections don't count as a loss: endpoints that have too many
   * connections refuse further ones.
   */
  recentAnswerMs: 500,
  /** Nodes that one request is passed to at most, one after the other. */
  maxPassingNodes: 3,
} as const;

/** What this node knows about its connections to the endpoints of a service. @public */
export interface ServiceReach {
  readonly isReached: boolean;
  /** Monotonic time at which an endpoint last accepted a connection or sent a byte. */
  readonly lastReachedMs: number;
}

/** Result of probes of several endpoints of a service at the same time. @public */
export interface ProbeRound {
  /** Whether the endpoints were all those of the service, or as many as one round may have. */
  readonly isFull: boolean;
  readonly probed: number;
  readonly accepted: number;
}

/**
 * A service counts as unreachable after a full round in which no endpoint accepted, if none has answered
 * lately either.
 * @public
 */
export function updateReach(
  before: ServiceReach,
  { isFull, probed, accepted }: ProbeRound,
  nowMs: number,
): ServiceReach {
  if (accepted > 0) return { isReached: true, lastReachedMs: nowMs };
  if (!isFull || probed === 0) return before;
  if (nowMs - before.lastReachedMs < REACH_OPTIONS.recentAnswerMs) return before;
  return { ...before, isReached: false };
}

/** Returns up to `count` random items. @param random from 0 to 1, drawn for each item. @public */
export function chooseSome<T>(
  items: ReadonlyArray<T>,
  count: number,
  random: () => number,
): ReadonlyArray<T> {
  if (items.length <= count) return items;
  return items
    .map((item) => ({ item, rank: random() }))
    .toSorted((a, b) => a.rank - b.rank)
    .slice(0, count)
    .map(({ item }) => item);
}

/** @public */
export interface PassingNode {
  readonly vmId: VmId;
  readonly dataCentre: string;
  readonly region: string;
  readonly takesCallers: boolean;
}

/**
 * Chooses the node that a request is passed to: one in the data centre of this node, or else in its
 * region, or else any.
 * @param unreaching nodes that don't reach the service either, or that the request was passed to already.
 * @public
 */
export function choosePassingNode<N extends PassingNode>(
  nodes: ReadonlyArray<N>,
  self: { readonly dataCentre: string; readonly region: string },
  unreaching: ReadonlySet<VmId>,
  random: () => number,
): N | undefined {
  const usable = nodes.filter(({ vmId, takesCallers }) => takesCallers && !unreaching.has(vmId));
  const inDataCentre = usable.filter(({ dataCentre }) => dataCentre === self.dataCentre);
  const inRegion = usable.filter(({ region }) => region === self.region);
  const nearest = [inDataCentre, inRegion].find(({ length }) => length > 0) ?? usable;
  return chooseSome(nearest, 1, random)[0];
}
