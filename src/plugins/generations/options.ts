/** Tunables of generations. */
export const GENERATION_OPTIONS = {
  /** Time limit for opening a connection to an engine. */
  connectTimeoutMs: 1_000,
  /** Time limit of a cancel at the engine. */
  cancelTimeoutMs: 2_000,
  /** Attachments tried for an explicit cancel while callers keep resuming the generation. */
  cancelAttempts: 3,
  /** Reconnections to a living engine without a new token in between. */
  maxReconnections: 3,
  /** Pause before a reconnection, multiplied by its number. */
  reconnectDelayMs: 50,
  /** Engines that may refuse one request before the caller is told. */
  maxRefusals: 3,
  /** A gap between tokens from which it counts as a stall; the target is 55 ms. */
  stallThresholdMs: 1_000,
  /** A first token that is later than this is reported; the target is 1,400 ms. */
  firstTokenThresholdMs: 2_000,
  /**
   * A silent connection is replaced after this time. With `maxReconnections` further ones, a hung
   * engine is given up after four times as long.
   */
  idleTimeoutMs: 10_000,
  /**
   * The same while reports show that the engine lives: a preempted generation may wait for minutes,
   * and giving it up would lose a long report.
   */
  idleTimeoutWithReportMs: 75_000,
  /** Oldest report that shows that an engine lives. */
  maxReportAgeMs: 5_000,
  /** Stalls recorded as decisions for one generation; further ones are only measured. */
  maxStallDecisions: 10,
  /** Engine reports lag; a preemption reported this long after a stall still explains it. */
  preemptionReportLagMs: 5_000,
  /** A caller that takes nothing for this long is disconnected and can resume. */
  slowReaderTimeoutMs: 30_000,
  /** Time for a caller to resume before a generation without a caller is cancelled. */
  resumeGraceMs: 10_000,
  /** Longest time for which a generation without a caller keeps its place and reservation. */
  maxUnattendedMs: 1_800_000,
  /** Estimate of prompt tokens; English prose has about four characters in a token. */
  charactersPerToken: 4,
  /** Start of the prompt that is hashed for prefix affinity. */
  prefixCharacters: 1_024,
} as const;

/** @internal */
export type GenerationOptions = {
  readonly [Name in keyof typeof GENERATION_OPTIONS]: number;
};
