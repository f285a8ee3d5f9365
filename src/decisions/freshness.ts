/**
 * Configuration ages at which a node reads it again, asks its peers and turns callers away.
 *
 * All thresholds are shares of the time within which the removal of a key must take effect, so that
 * a deployment with a shorter time is polled more often.
 */

export const FRESHNESS_OPTIONS = {
  /** Cap on that time, so that a long one doesn't make nodes update less often. */
  maxRevocationMs: 5_000,
  /** Age at which a watch without changes returns on a node that reads only for itself. */
  watchTimeoutShare: 0.38,
  /** The same on a node that others follow: two nodes on the way add to the age of what they know. */
  readerWatchTimeoutShare: 0.18,
  /** Age of what a reader passed on at which the other readers are asked as well. */
  readerMaxAgeShare: 0.4,
  /** Age at which peers are asked, unless a watch has confirmed the configuration before. */
  relayAfterShare: 0.46,
  /** Age above which a node no longer serves its configuration to peers. */
  maxRelayAgeShare: 0.5,
  /** Age at which callers are directed to other nodes. */
  staleForCallersShare: 0.56,
  /** Minimum timeout of a watch, so that a stream of changes doesn't cause back-to-back calls. */
  minWatchTimeoutMs: 200,
  /**
   * Delay after a watch that returned changes, so that changes in quick succession cost one call
   * together. It must be well below the 1 to 2 s of notice that a leaving engine gives.
   */
  batchDelayMs: 80,
  /** Shortest pause after a read that failed or was of no use. */
  minReadPauseMs: 50,
} as const;

/** @public */
export interface FreshnessThresholds {
  readonly watchTimeoutMs: number;
  /** Watch timeout of a node that reads for others. */
  readonly readerWatchTimeoutMs: number;
  readonly readerMaxAgeMs: number;
  readonly relayAfterMs: number;
  readonly maxRelayAgeMs: number;
  readonly staleForCallersMs: number;
}

export function computeFreshnessThresholds(revocationWithinMs: number): FreshnessThresholds {
  const {
    maxRevocationMs,
    watchTimeoutShare,
    readerWatchTimeoutShare,
    readerMaxAgeShare,
    relayAfterShare,
    maxRelayAgeShare,
    staleForCallersShare,
  } = FRESHNESS_OPTIONS;
  const baseMs = Math.min(revocationWithinMs, maxRevocationMs);
  return {
    watchTimeoutMs: Math.round(baseMs * watchTimeoutShare),
    readerWatchTimeoutMs: Math.round(baseMs * readerWatchTimeoutShare),
    readerMaxAgeMs: Math.round(baseMs * readerMaxAgeShare),
    relayAfterMs: Math.round(baseMs * relayAfterShare),
    maxRelayAgeMs: Math.round(baseMs * maxRelayAgeShare),
    staleForCallersMs: Math.round(baseMs * staleForCallersShare),
  };
}

/**
 * Returns the timeout of the next watch. A watch that returned changes confirms the configuration
 * only as of its start, so the next one is shorter; after an outage or a suspension it is 0.
 */
export function computeWatchTimeoutMs(
  confirmedAgeMs: number,
  thresholds: FreshnessThresholds,
  readsForOthers = false,
): number {
  const { watchTimeoutMs: usualMs, readerWatchTimeoutMs } = thresholds;
  const watchTimeoutMs = readsForOthers ? readerWatchTimeoutMs : usualMs;
  if (confirmedAgeMs > watchTimeoutMs * 2) return 0;
  return Math.max(FRESHNESS_OPTIONS.minWatchTimeoutMs, watchTimeoutMs - confirmedAgeMs);
}

/**
 * Returns the pause after a read that failed or was of no use. The interval counts from the start
 * of that read, so that one that timed out is repeated soon.
 * @param uselessReads how many of them came in a row, including this one.
 */
export function computeReadPauseMs(
  uselessReads: number,
  readForMs: number,
  retryIntervalMs: number,
): number {
  const { minReadPauseMs } = FRESHNESS_OPTIONS;
  if (uselessReads <= 1) return minReadPauseMs;
  return Math.max(minReadPauseMs, retryIntervalMs - readForMs);
}
