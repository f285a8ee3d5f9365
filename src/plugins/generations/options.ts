/** Options of generations. */
export const GENERATION_OPTIONS = {
  /** Time limit for opening a connection to an engine. */
  connectTimeoutMs: 1_000,
  /** Longest body of a refusal that is read; an engine in trouble may send one without end. */
  maxRefusalBytes: 65_536,
  /** Time limit of a cancel at the engine. */
  cancelTimeoutMs: 2_000,
  /** Attempts of an explicit cancel while callers keep resuming the generation. */
  cancelAttempts: 3,
  /** Consecutive reconnections to an engine without a new token in between. */
  maxReconnections: 3,
  /** Delay before a reconnection, multiplied by its number. */
  reconnectDelayMs: 50,
  /** Engines that may refuse one request before it fails. */
  maxRefusals: 3,
  /** Gap between tokens from which it counts as a stall; the target is 55 ms. */
  stallThresholdMs: 1_000,
  /** Time to first token above which a slow start is recorded; the target is 1,400 ms. */
  firstTokenThresholdMs: 2_000,
  /**
   * A connection without events for this long is replaced. With `maxReconnections` further ones, a
   * hung engine is treated as lost after four times as long.
   */
  idleTimeoutMs: 10_000,
  /**
   * The same while reports show that the engine is alive: a preempted generation may wait for
   * minutes, and ending it would lose a long output.
   */
  idleTimeoutWithReportMs: 75_000,
  /** Maximum age of a report that shows that an engine is alive. */
  maxReportAgeMs: 5_000,
  /** Stalls recorded as decisions for one generation; further ones only appear in metrics. */
  maxStallDecisions: 10,
  /** Engine reports lag: a preemption reported this long after a stall still explains it. */
  preemptionReportLagMs: 5_000,
  /** A caller that reads nothing for this long is disconnected and can resume. */
  slowReaderTimeoutMs: 30_000,
  /** Time for a caller to resume before a generation without a caller is cancelled. */
  resumeGraceMs: 10_000,
  /** Longest time for which a generation without a caller keeps its limit slot and reservation. */
  maxUnattendedMs: 1_800_000,
  /** Used to estimate prompt tokens; English prose has about four characters per token. */
  charactersPerToken: 4,
  /** Length of the start of the prompt that is hashed for prefix affinity. */
  prefixCharacters: 1_024,
} as const;

/** @internal */
export type GenerationOptions = {
  readonly [Name in keyof typeof GENERATION_OPTIONS]: number;
};
