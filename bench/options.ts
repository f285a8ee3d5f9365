/** Tunables of the bench. */
export const BENCH_OPTIONS = {
  /** Requests that arrive before this time teach the estimators and aren't measured. */
  warmUpMs: 120_000,
  /** A gap counts as a stall for the time beyond this. */
  stallThresholdMs: 250,
  /** Gossip brings a report of each engine to each node this often. */
  reportIntervalMs: 1_000,
  /** Part of the report lag that is inside the engine, where a node can't see it. */
  hiddenReportLagMs: 500,
  /** Time until the VM list no longer has a lost engine. */
  lossDetectionMs: 3_000,
  /** One-way delays, as docs/design.md, section 1.2, states them. */
  sameRegionDelayMs: 1,
  otherRegionDelayMs: 8,
  /** Bytes of one prompt token and of one streamed event on a link. */
  bytesPerPromptToken: 4,
  bytesPerTokenEvent: 200,
  /** Tokens between two notes of the progress to the router. */
  progressIntervalTokens: 8,
  maxRecordedMs: 600_000,
  /** Worker threads; leaves cores to others on the machine. */
  workers: 4,
} as const;
