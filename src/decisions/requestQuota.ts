/**
 * Division of the request quota of an endpoint among nodes that can't ask each other.
 *
 * The quota is dealt out in units of one request, in the order of a rendezvous hash over the nodes. A
 * node computes its own share alone. The shares don't add up to more than the quota even when nodes
 * know different fleets, as long as each knows at least the nodes that send: a longer list never
 * raises its rank, and neither a lower rank nor a longer list raises its share.
 */
import type { EndpointId, ServingBounds, VmId } from '../core';
import { hashText } from './hashText';
import { PLACE_COUNTING, WRITE_COUNTING, type SendCounting } from './sendCounting';

const MS_PER_SECOND = 1_000;

export const REQUEST_QUOTA_OPTIONS = {
  /**
   * Sliding window of the quota of a cold endpoint: a second, and a margin for the differing delays to
   * an endpoint.
   */
  coldWindowMs: 1_100,
  /** Time over which a named rate limit is kept; in a shorter one most nodes would have no request. */
  limitPeriodMs: 4_000,
  /** The same for a limit of less than one request in that time, at most. */
  maxLimitPeriodMs: 60_000,
  /** Margin for differing delays, which is added to the window of a named limit. */
  delayMarginMs: 100,
  /** A second, and the margin, for which a rejected request counts at a brittle endpoint. */
  rejectionWindowMs: 1_100,
  /**
   * Part of the rejections that a brittle endpoint survives which is divided among all nodes. The others
   * are left to guests while it has much room, to places that cancelled requests and new connections
   * still hold, and to nodes whose lists of nodes differ for a moment.
   */
  rejectionShare: 0.5,
  /** Share of its slots below which a brittle endpoint takes requests from guests too. */
  guestLoadShare: 0.5,
} as const;

/** What an endpoint takes from all nodes together. @public */
export interface RequestQuota {
  /** Requests in a sliding window. */
  readonly requests: number;
  readonly windowMs: number;
  /** Which requests count, and from when their windows run. */
  readonly counting: SendCounting;
}

/** The nodes that may send requests, as far as one of them knows. @public */
export interface NodeRoster {
  /** All nodes that may be running, including this one. */
  readonly vmIds: ReadonlyArray<VmId>;
  /**
   * How many of them were not heard of lately. They may have been cut off together with unknown nodes
   * that replaced others of them, so that as many nodes may be missing from the list.
   */
  readonly unheardCount: number;
  /** False while nodes may be missing for another reason, such as a recent start of this node. */
  readonly isComplete: boolean;
}

/** A request that counts against a quota. @public */
export interface PlacedSend {
  /** Monotonic time from which its window runs; infinite while that isn't known. */
  readonly windowStartMs: number;
}

/** Returns the quota of an endpoint that is cold. */
export function computeColdQuota(
  coldRequestsPerSecond: number,
  { coldRequestFactor, coldRequestAllowance }: ServingBounds,
): RequestQuota {
  return {
    requests: Math.floor(coldRequestsPerSecond * coldRequestFactor + coldRequestAllowance),
    windowMs: REQUEST_QUOTA_OPTIONS.coldWindowMs,
    counting: WRITE_COUNTING,
  };
}

/** Returns the quota of an endpoint that has named a rate limit. */
export function computeLimitQuota(requestsPerSecond: number): RequestQuota {
  const { limitPeriodMs, maxLimitPeriodMs, delayMarginMs } = REQUEST_QUOTA_OPTIONS;
  const requestsPerMs = requestsPerSecond / MS_PER_SECOND;
  const requests = Math.floor(requestsPerMs * limitPeriodMs);
  if (requests > 0 || requestsPerSecond === 0) {
    return { requests, windowMs: limitPeriodMs + delayMarginMs, counting: WRITE_COUNTING };
  }
  const periodMs = Math.min(maxLimitPeriodMs, 1 / requestsPerMs);
  return { requests: 1, windowMs: periodMs + delayMarginMs, counting: WRITE_COUNTING };
}

/**
 * Returns the quota of places at an endpoint that may run so many requests and survives so many
 * rejections in a second. When it rejects one, its slots are in use, and all rejected in the second
 * before still count: those that count are at least its slots and the rejections of a second.
 */
export function computePlaceQuota(slots: number, maxRejectionsPerSecond: number): RequestQuota {
  const { rejectionWindowMs, rejectionShare } = REQUEST_QUOTA_OPTIONS;
  return {
    requests: slots + Math.floor(maxRejectionsPerSecond * rejectionShare),
    windowMs: rejectionWindowMs,
    counting: PLACE_COUNTING,
  };
}

/** Returns how many nodes may precede a node in the order for an endpoint. */
function computeLowestRank(endpointId: EndpointId, self: VmId, roster: NodeRoster): number {
  const getWeight = (vmId: VmId): number => hashText(`${endpointId}\n${vmId}`);
  const ownWeight = getWeight(self);
  const preceding = roster.vmIds.filter((vmId) => {
    const weight = getWeight(vmId);
    return weight > ownWeight || (weight === ownWeight && vmId < self);
  });
  return preceding.length + roster.unheardCount;
}

/** Ranks by roster, as a placement asks several times and each answer hashes the whole roster. */
const lowestRanks = new WeakMap<NodeRoster, Map<string, number>>();

function getLowestRank(endpointId: EndpointId, self: VmId, roster: NodeRoster): number {
  const ranks = lowestRanks.get(roster) ?? new Map<string, number>();
  lowestRanks.set(roster, ranks);
  const key = `${endpointId}\n${self}`;
  const rank = ranks.get(key) ?? computeLowestRank(endpointId, self, roster);
  ranks.set(key, rank);
  return rank;
}

/** Returns this node's share of a quota, in requests of one window. */
export function computeQuotaShare(
  endpointId: EndpointId,
  self: VmId,
  roster: NodeRoster,
  requests: number,
): number {
  if (!roster.isComplete) return 0;
  const nodes = roster.vmIds.length + roster.unheardCount;
  const rank = getLowestRank(endpointId, self, roster);
  return Math.max(0, Math.ceil((requests - rank) / nodes));
}

/** Returns the requests whose windows run, or haven't begun. */
export function listCountedSends<T extends PlacedSend>(
  sends: ReadonlyArray<T>,
  windowMs: number,
  nowMs: number,
): ReadonlyArray<T> {
  const sinceMs = nowMs - windowMs;
  return sends.filter(({ windowStartMs }) => windowStartMs > sinceMs);
}

/**
 * Returns the time until a share has room for another request: 0 if it has now, undefined if that
 * isn't known, as the share is empty or requests whose windows haven't begun use it up.
 */
export function computeQuotaDelayMs(
  sends: ReadonlyArray<PlacedSend>,
  share: number,
  windowMs: number,
  nowMs: number,
): number | undefined {
  const counted = listCountedSends(sends, windowMs, nowMs);
  if (counted.length < share) return 0;
  if (share === 0) return undefined;
  const expiriesMs = counted
    .filter(({ windowStartMs }) => Number.isFinite(windowStartMs))
    .map(({ windowStartMs }) => windowStartMs + windowMs)
    .sort((a, b) => a - b);
  const expiryMs = expiriesMs[counted.length - share];
  return expiryMs === undefined ? undefined : Math.max(0, expiryMs - nowMs);
}
