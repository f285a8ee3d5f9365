/** Parameters of the bench. */
export const BENCH_OPTIONS = {
  /** Requests that arrive before this time train the estimators and are not measured. */
  warmUpMs: 120_000,
  /** The part of a gap beyond this time counts as a stall. */
  stallThresholdMs: 250,
  /** Interval at which gossip delivers a report of each engine to each node. */
  reportIntervalMs: 1_000,
  /** Part of the report lag that arises inside the engine, where a node cannot observe it. */
  hiddenReportLagMs: 500,
  /** Time after which the VM list no longer contains a lost engine. */
  lossDetectionMs: 3_000,
  /** One-way network delays (docs/design.md, section 1.2). */
  sameRegionDelayMs: 1,
  otherRegionDelayMs: 8,
  /** Bytes of one prompt token and of one streamed event on a link. */
  bytesPerPromptToken: 4,
  bytesPerTokenEvent: 200,
  /** Tokens between two progress reports to the router. */
  progressIntervalTokens: 8,
  maxRecordedMs: 600_000,
  /** Worker threads; leaves cores free for other users of the machine. */
  workers: 4,
} as const;
