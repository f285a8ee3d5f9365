/**
 * Ages of what a node knows of the configuration at which it does something about it.
 *
 * All of them are parts of the time within which the removal of a key has to be known everywhere,
 * so that a deployment with a shorter one is asked more often.
 */

export const FRESHNESS_OPTIONS = {
  /** Longer times are no reason to know less. */
  longestRevocationMs: 5_000,
  /** Age that is reached when a watch without changes returns. */
  watchPart: 0.38,
  /** Age at which other nodes are asked; a watch returns before it. */
  relayPart: 0.46,
  /** Age above which a node passes nothing on. */
  relayedPart: 0.5,
  /** Age at which callers are sent to other nodes. */
  staleForCallersPart: 0.56,
  /** Shortest wait of a watch, so that a stream of changes isn't asked for without a pause. */
  minWatchMs: 200,
  /**
   * Pause after a watch that returned changes, for each other node: all of them watch, so a burst of
   * changes costs as many calls as there are nodes, unless several are read at once.
   */
  changePausePerNodeMs: 5,
  /** Longest such pause; a leaving engine gives notice of one to two seconds. */
  maxChangePauseMs: 400,
} as const;

/** @public */
export interface FreshnessAges {
  readonly watchMs: number;
  readonly relayAfterMs: number;
  readonly maxRelayedMs: number;
  readonly staleForCallersMs: number;
}

export function chooseFreshnessAges(revocationWithinMs: number): FreshnessAges {
  const { longestRevocationMs, watchPart, relayPart, relayedPart, staleForCallersPart } =
    FRESHNESS_OPTIONS;
  const baseMs = Math.min(revocationWithinMs, longestRevocationMs);
  return {
    watchMs: Math.round(baseMs * watchPart),
    relayAfterMs: Math.round(baseMs * relayPart),
    maxRelayedMs: Math.round(baseMs * relayedPart),
    staleForCallersMs: Math.round(baseMs * staleForCallersPart),
  };
}

/**
 * How long the next watch may wait. One that returned changes confirms nothing later than its
 * start, so the next one waits shorter; after an outage or a suspension it doesn't wait at all.
 */
export function chooseWatchWaitMs(confirmedAgeMs: number, { watchMs }: FreshnessAges): number {
  if (confirmedAgeMs > watchMs * 2) return 0;
  return Math.max(FRESHNESS_OPTIONS.minWatchMs, watchMs - confirmedAgeMs);
}

/** How long changes are let gather before the next watch. */
export function chooseChangePauseMs(otherNodes: number): number {
  const { changePausePerNodeMs, maxChangePauseMs } = FRESHNESS_OPTIONS;
  return Math.min(maxChangePauseMs, otherNodes * changePausePerNodeMs);
}
