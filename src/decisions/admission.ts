/**
 * Orders waiting requests and decides whether a request may wait.
 *
 * A request whose estimated wait exceeds what its contract allows is refused at once, with the time
 * after which to retry, so that its caller doesn't wait only to be refused.
 */
import type { RoutingOptions } from './options';

/** Sort keys of a waiting request. @public */
export interface WaitingWork {
  readonly rank: number;
  readonly deadlineMs: number;
  /** Sequence number of arrival; breaks ties of rank and deadline. */
  readonly arrival: number;
}

/** Compares by rank, then deadline, then arrival. */
export function compareWaitingWork(a: WaitingWork, b: WaitingWork): number {
  return a.rank - b.rank || a.deadlineMs - b.deadlineMs || a.arrival - b.arrival;
}

/** @public */
export interface WaitEstimateInput {
  /** Tokens of the waiting requests that are served earlier. */
  readonly tokensAhead: number;
  /** Memory that the first request of the queue lacks at the engine closest to having enough. */
  readonly missingTokens: number;
  /** Rate at which this node's own requests free memory; undefined until one has ended. */
  readonly ownFreedTokensPerMs: number | undefined;
  /** Rate at which the requests of all nodes free memory. */
  readonly fleetFreedTokensPerMs: number;
  readonly decidingNodes: number;
}

/**
 * Estimates the wait; undefined while both rates are unknown. Requests of any node free the memory
 * that the first request of the queue lacks; the rest of the queue gets at least this node's share.
 */
export function estimateWaitMs({
  tokensAhead,
  missingTokens,
  ownFreedTokensPerMs = 0,
  fleetFreedTokensPerMs,
  decidingNodes,
}: WaitEstimateInput): number | undefined {
  const ownPerMs = Math.max(ownFreedTokensPerMs, fleetFreedTokensPerMs / decidingNodes);
  if (ownPerMs <= 0) return undefined;
  return missingTokens / Math.max(ownPerMs, fleetFreedTokensPerMs) + tokensAhead / ownPerMs;
}

/** @public */
export type AdmissionVerdict =
  | { readonly admitted: true; readonly expectedWaitMs: number | undefined }
  | {
      readonly admitted: false;
      readonly reason: string;
      readonly clause: string;
      readonly retryAfterMs: number;
      readonly measured: Readonly<Record<string, number>>;
    };

/** Decides whether a request that no engine has memory for may wait. */
export function decideAdmission(
  input: WaitEstimateInput,
  allowed: { readonly clausePath: string; readonly maxWaitMs: number },
  { minRetryAfterMs }: Pick<RoutingOptions, 'minRetryAfterMs'>,
): AdmissionVerdict {
  const expectedWaitMs = estimateWaitMs(input);
  if (allowed.maxWaitMs > 0 && (expectedWaitMs ?? 0) <= allowed.maxWaitMs) {
    return { admitted: true, expectedWaitMs };
  }
  const clause = `${allowed.clausePath}.maxWaitMs`;
  const expected = Math.round(expectedWaitMs ?? 0);
  const wait = expectedWaitMs === undefined ? 'some wait' : `a wait of ${expected} ms`;
  return {
    admitted: false,
    reason: `No engine has room, and ${wait} is expected where ${clause} allows ${allowed.maxWaitMs} ms.`,
    clause,
    retryAfterMs: Math.max(minRetryAfterMs, expected - allowed.maxWaitMs),
    measured: {
      tokensAhead: input.tokensAhead,
      missingTokens: Math.round(input.missingTokens),
      expectedWaitMs: expected,
      maxWaitMs: allowed.maxWaitMs,
    },
  };
}

/**
 * Smoothed rate at which this node's own requests free memory. Tokens and intervals are smoothed
 * separately, so that a burst of releases doesn't count as a high rate.
 */
export class FreedMemoryRate {
  private lastMs: number | undefined;

  private smoothedTokens = 0;

  private smoothedIntervalMs = 0;

  constructor(private readonly options: Pick<RoutingOptions, 'rateSmoothing'>) {}

  get tokensPerMs(): number | undefined {
    return this.smoothedIntervalMs > 0 ? this.smoothedTokens / this.smoothedIntervalMs : undefined;
  }

  record(freedTokens: number, nowMs: number): void {
    const { lastMs } = this;
    this.lastMs = nowMs;
    if (lastMs === undefined) return;
    const { rateSmoothing } = this.options;
    this.smoothedTokens += rateSmoothing * (freedTokens - this.smoothedTokens);
    this.smoothedIntervalMs += rateSmoothing * (nowMs - lastMs - this.smoothedIntervalMs);
  }
}
