/**
 * Ages of what a node knows of the configuration at which it does something about it.
 *
 * All of them are parts of the time within which the removal of a key has to be known everywhere,
 * so that a deployment with a shorter one is asked more often.
 */

export const FRESHNESS_OPTIONS = {
  /** Longer times are no reason to know less. */
  maxRevocationMs: 5_000,
  /** Age that is reached when a watch without changes returns. */
  watchTimeoutShare: 0.38,
  /** Age at which other nodes are asked; a watch returns before it. */
  relayAfterShare: 0.46,
  /** Age above which a node passes nothing on. */
  maxRelayAgeShare: 0.5,
  /** Age at which callers are sent to other nodes. */
  staleForCallersShare: 0.56,
  /** Shortest wait of a watch, so that a stream of changes isn't asked for without a pause. */
  minWatchTimeoutMs: 200,
  /**
   * Pause after a watch that returned changes, for each other node: all of them watch, so a burst of
   * changes costs as many calls as there are nodes, unless several are read at once.
   */
  batchDelayPerNodeMs: 5,
  /** Longest such pause; a leaving engine gives notice of one to two seconds. */
  maxBatchDelayMs: 400,
} as const;

/** @public */
export interface FreshnessThresholds {
  readonly watchTimeoutMs: number;
  readonly relayAfterMs: number;
  readonly maxRelayAgeMs: number;
  readonly staleForCallersMs: number;
}

export function computeFreshnessThresholds(revocationWithinMs: number): FreshnessThresholds {
  const {
    maxRevocationMs,
    watchTimeoutShare,
    relayAfterShare,
    maxRelayAgeShare,
    staleForCallersShare,
  } = FRESHNESS_OPTIONS;
  const baseMs = Math.min(revocationWithinMs, maxRevocationMs);
  return {
    watchTimeoutMs: Math.round(baseMs * watchTimeoutShare),
    relayAfterMs: Math.round(baseMs * relayAfterShare),
    maxRelayAgeMs: Math.round(baseMs * maxRelayAgeShare),
    staleForCallersMs: Math.round(baseMs * staleForCallersShare),
  };
}

/**
 * How long the next watch may wait. One that returned changes confirms nothing later than its
 * start, so the next one waits shorter; after an outage or a suspension it doesn't wait at all.
 */
export function computeWatchTimeoutMs(
  confirmedAgeMs: number,
  { watchTimeoutMs }: FreshnessThresholds,
): number {
  if (confirmedAgeMs > watchTimeoutMs * 2) return 0;
  return Math.max(FRESHNESS_OPTIONS.minWatchTimeoutMs, watchTimeoutMs - confirmedAgeMs);
}

/** How long changes are let gather before the next watch. */
export function computeBatchDelayMs(otherNodes: number): number {
  const { batchDelayPerNodeMs, maxBatchDelayMs } = FRESHNESS_OPTIONS;
  return Math.min(maxBatchDelayMs, otherNodes * batchDelayPerNodeMs);
}
