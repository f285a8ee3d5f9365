/**
 * Order of the generations that wait for room, and whom to refuse.
 *
 * Urgent ranks go first. Within a rank, those that can still meet their latency goal go before late
 * ones, and the customer with the smallest use of memory before the others: its recent use, and that
 * of its own requests that wait ahead, as in start-time fair queueing. A floor keeps an urgent rank
 * from starving the others in a long burst.
 */
import type { CustomerId } from '../core';
import type { RecentUse } from './fairShares';

export const WAITING_OPTIONS = {
  /** Share of recent use below which a lower rank goes first. */
  lowerRankFloor: 0.2,
  /** Share of its time for an answer on time that a request waits before the floor applies. */
  floorAfterShare: 0.5,
  /** Share of the engines' capacity that a request leaves at its arrival; none at its goal. */
  freshSpareShare: 0.05,
  /** Share that a late request leaves. */
  lateSpareShare: 0.025,
  /** Further share that a customer leaves that has used well above an equal share. */
  aboveShareSpareShare: 0.025,
  /** Time from the first token at the engine to the caller. */
  deliveryMs: 60,
  /** Share of the forecast wait that counts as the best case; a request with a chance stays. */
  bestCaseShare: 0.5,
  /** Share of the time left up to which callers honour `Retry-After`. */
  honouredShare: 1 / 3,
  /** Further share of that time that is kept for the way back. */
  honouredMargin: 0.1,
  /** Spread of the return times, as a multiple of the time until room is expected. */
  returnSpread: 0.5,
  minRetryAfterMs: 150,
  /** Bounds of the queue of one node. */
  maxRequests: 256,
  maxBytes: 4_194_304,
} as const;

/** @public */
export interface WaitingRequest {
  /** Order of arrival. */
  readonly arrival: number;
  readonly customer: CustomerId | undefined;
  readonly rank: number;
  readonly arrivedAtMs: number;
  /** Latest start at which it still meets its latency goal. */
  readonly onTimeUntilMs: number;
  /** Latest start at which its caller still gets a first event before it leaves. */
  readonly usefulUntilMs: number;
  /** Memory that it needs to start. */
  readonly needTokens: number;
  /** Memory over time that it is expected to use, in tokens times ms. */
  readonly tokenMs: number;
  /** Memory of this process that it holds while it waits. */
  readonly heldBytes: number;
}

/** What a caller needs, for the times until which a wait makes sense. @public */
export interface CallerPatience {
  readonly arrivedAtMs: number;
  readonly latencyGoalMs: number;
  /** Time at which the caller leaves a stream that hasn't begun, less the way of an error to it. */
  readonly leavesAtMs: number;
  /** Expected time from the start at an engine to the first token. */
  readonly firstTokenMs: number;
}

/** @public */
export type OrderReason =
  | 'rank'
  | 'minimum share of lower ranks'
  | 'missed latency goal'
  | 'recent memory use of the customer'
  | 'latest start on time';

/** @public */
export interface OrderedRequest<R extends WaitingRequest> {
  readonly request: R;
  /** What decided its place against the next one ahead. */
  readonly reason: OrderReason;
}

/** @public */
export interface WaitVerdict {
  readonly outcome: 'wait' | 'refuse';
  readonly expectedWaitMs: number;
  readonly reason: string;
}

export function computeWaitLimits(
  patience: CallerPatience,
): Pick<WaitingRequest, 'onTimeUntilMs' | 'usefulUntilMs'> {
  const { arrivedAtMs, latencyGoalMs, leavesAtMs, firstTokenMs } = patience;
  const leadMs = firstTokenMs + WAITING_OPTIONS.deliveryMs;
  const usefulUntilMs = Math.max(arrivedAtMs, leavesAtMs - leadMs);
  const onTimeUntilMs = Math.max(arrivedAtMs, arrivedAtMs + latencyGoalMs - leadMs);
  return { onTimeUntilMs: Math.min(onTimeUntilMs, usefulUntilMs), usefulUntilMs };
}

/** Whether a lower rank has had less than its floor while the request has waited for long. */
function isUnderFloor(
  request: WaitingRequest,
  topRank: number,
  use: RecentUse,
  nowMs: number,
): boolean {
  const { lowerRankFloor, floorAfterShare } = WAITING_OPTIONS;
  const { rank, arrivedAtMs, onTimeUntilMs } = request;
  const floorAfterMs = arrivedAtMs + (onTimeUntilMs - arrivedAtMs) * floorAfterShare;
  return rank > topRank && nowMs >= floorAfterMs && use.getRankShare(rank) < lowerRankFloor;
}

interface RankedRequest<R extends WaitingRequest> {
  readonly request: R;
  readonly rank: number;
  readonly isLate: boolean;
}

interface TaggedRequest<R extends WaitingRequest> extends RankedRequest<R> {
  /** Use of its customer when it starts, with the customer's requests that start before it. */
  readonly useAtStart: number;
}

function compareRanked<R extends WaitingRequest>(a: RankedRequest<R>, b: RankedRequest<R>): number {
  return a.rank - b.rank || Number(a.isLate) - Number(b.isLate);
}

function compareDeadlines(a: WaitingRequest, b: WaitingRequest): number {
  return a.onTimeUntilMs - b.onTimeUntilMs || a.arrival - b.arrival;
}

function addUseAtStart<R extends WaitingRequest>(
  ranked: ReadonlyArray<RankedRequest<R>>,
  use: RecentUse,
): ReadonlyArray<TaggedRequest<R>> {
  const uses = new Map<CustomerId | undefined, number>();
  return [...ranked]
    .sort((a, b) => compareRanked(a, b) || compareDeadlines(a.request, b.request))
    .map((each) => {
      const { customer, tokenMs } = each.request;
      const useAtStart = uses.get(customer) ?? use.getCustomerUse(customer);
      uses.set(customer, useAtStart + tokenMs);
      return { ...each, useAtStart };
    });
}

function explainPlace<R extends WaitingRequest>(
  { request, rank, isLate, useAtStart }: TaggedRequest<R>,
  ahead: TaggedRequest<R> | undefined,
): OrderReason {
  if (rank < request.rank) return 'minimum share of lower ranks';
  if (ahead?.rank !== rank) return 'rank';
  if (ahead.isLate !== isLate) return 'missed latency goal';
  return ahead.useAtStart === useAtStart
    ? 'latest start on time'
    : 'recent memory use of the customer';
}

/** Whether a request of a lower rank gives way to nobody, so that its rank doesn't starve. */
export function mayNotStarve(reason: OrderReason): boolean {
  return reason === 'minimum share of lower ranks';
}

/** Sorts the requests, those to be placed first at the front. */
export function orderWaiting<R extends WaitingRequest>(
  waiting: ReadonlyArray<R>,
  use: RecentUse,
  nowMs: number,
): ReadonlyArray<OrderedRequest<R>> {
  const topRank = Math.min(...waiting.map(({ rank }) => rank));
  const ranked = waiting.map((request) => ({
    request,
    rank: isUnderFloor(request, topRank, use, nowMs) ? topRank - 1 : request.rank,
    isLate: nowMs > request.onTimeUntilMs,
  }));
  return [...addUseAtStart(ranked, use)]
    .sort(
      (a, b) =>
        compareRanked(a, b) ||
        a.useAtStart - b.useAtStart ||
        compareDeadlines(a.request, b.request),
    )
    .map((each, index, sorted) => ({
      request: each.request,
      reason: explainPlace(each, sorted[index - 1]),
    }));
}

/**
 * Returns for how many starts a request of a lower rank must leave room. Requests that go ahead of it
 * may wait at other nodes, whose queues this one doesn't know: those with less time left, those that
 * aren't late yet, and those of customers with less use.
 * @param capacityStarts starts of its size that all engines hold together.
 */
export function computeSpareStarts(
  { customer, arrivedAtMs, onTimeUntilMs }: WaitingRequest,
  use: RecentUse,
  capacityStarts: number,
  nowMs: number,
): number {
  const { freshSpareShare, lateSpareShare, aboveShareSpareShare } = WAITING_OPTIONS;
  const slackShare = (onTimeUntilMs - nowMs) / Math.max(1, onTimeUntilMs - arrivedAtMs);
  const byTime = slackShare < 0 ? lateSpareShare : slackShare * freshSpareShare;
  const byUse = use.isAboveShare(customer) ? aboveShareSpareShare : 0;
  return Math.floor((byTime + byUse) * capacityStarts);
}

/**
 * Decides whether a request still has a chance.
 * @param expectedWaitMs infinite if no room is forecast.
 */
export function judgeWait(
  { onTimeUntilMs, usefulUntilMs }: WaitingRequest,
  expectedWaitMs: number,
  hasIdleEngine: boolean,
  nowMs: number,
): WaitVerdict {
  if (expectedWaitMs === Infinity && hasIdleEngine) {
    const reason = 'an engine is idle, and the end of what it holds is not known';
    return { outcome: 'wait', expectedWaitMs, reason };
  }
  const bestStartMs = nowMs + expectedWaitMs * WAITING_OPTIONS.bestCaseShare;
  if (bestStartMs > usefulUntilMs) {
    const reason = 'no room is expected before the caller leaves';
    return { outcome: 'refuse', expectedWaitMs, reason };
  }
  const isOnTime = nowMs + expectedWaitMs <= onTimeUntilMs;
  const reason = isOnTime
    ? 'room is expected in time for the latency goal'
    : 'room is expected after the latency goal, but before the caller leaves';
  return { outcome: 'wait', expectedWaitMs, reason };
}

/**
 * Returns when the caller should come back: when room is expected, spread over the callers, and not
 * beyond what callers honour.
 * @param leftMs time until the caller's deadline.
 * @param draw uniform in [0, 1).
 */
export function computeRetryAfterMs(expectedWaitMs: number, leftMs: number, draw: number): number {
  const { honouredShare, honouredMargin, returnSpread, minRetryAfterMs } = WAITING_OPTIONS;
  const honouredMs = Math.max(0, leftMs) * honouredShare * (1 - honouredMargin);
  const spreadMs = Math.min(expectedWaitMs, honouredMs) * returnSpread;
  const latestMs = Math.min(expectedWaitMs + spreadMs, honouredMs);
  const earliestMs = Math.min(expectedWaitMs, Math.max(0, latestMs - spreadMs));
  const spreadOverMs = earliestMs + (latestMs - earliestMs) * draw;
  return Math.round(Math.min(honouredMs, Math.max(minRetryAfterMs, spreadOverMs)));
}

/** Returns the requests to refuse so that the queue keeps its bounds, from the end of the order. */
export function listOverflow<R extends WaitingRequest>(
  ordered: ReadonlyArray<OrderedRequest<R>>,
): ReadonlyArray<R> {
  const { maxRequests, maxBytes } = WAITING_OPTIONS;
  let bytes = 0;
  return ordered.flatMap(({ request }, index) => {
    bytes += request.heldBytes;
    return index < maxRequests && bytes <= maxBytes ? [] : [request];
  });
}
