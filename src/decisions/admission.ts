/**
 * Order of waiting work, and when waiting is pointless.
 *
 * A request whose expected wait is longer than its contract allows is refused at once, with the
 * time after which a retry is worthwhile, so that its caller doesn't wait for a refusal.
 */
import type { RoutingOptions } from './options';

/** What the order of waiting work depends on. @public */
export interface WaitingWork {
  readonly rank: number;
  readonly deadlineMs: number;
  /** Order of arrival, which decides between equal ranks and deadlines. */
  readonly arrival: number;
}

/** Rank first, then deadline; an earlier arrival wins a tie. */
export function compareWaitingWork(a: WaitingWork, b: WaitingWork): number {
  return a.rank - b.rank || a.deadlineMs - b.deadlineMs || a.arrival - b.arrival;
}

/** @public */
export interface WaitEstimateInput {
  /** Tokens of waiting work that is served earlier. */
  readonly tokensAhead: number;
  /** Memory that the closest engine lacks for the first of the queue. */
  readonly missingTokens: number;
  /** Rate at which this node's own work gives room back; undefined while nothing has ended. */
  readonly ownFreedTokensPerMs: number | undefined;
  /** Rate at which the work of all nodes gives room back. */
  readonly fleetFreedTokensPerMs: number;
  readonly decidingNodes: number;
}

/**
 * Expected wait; undefined while nothing is known of the rates. What the first of the queue lacks
 * is given back by the work of any node; the rest of the queue gets at least this node's share.
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

/** Decides whether a request that finds no room may wait. */
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
 * Smoothed rate at which this node's own work gives room back. Tokens and intervals are smoothed
 * apart, so that a burst of releases isn't taken for a high rate.
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
