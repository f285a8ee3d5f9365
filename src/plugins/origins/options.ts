/** Options of the memory of where streams began. */
export const ORIGINS_OPTIONS = {
  /** Interval at which the versions of the listed endpoints are noted. */
  observeIntervalMs: 500,
  /** Age of the knowledge of the source, or time between two observations, that ends the coverage. */
  maxGapMs: 5_000,
  /** How long a version that is no longer listed is remembered. */
  versionMemoryMs: 600_000,
  /** Streams whose origin is remembered, the newest ones. */
  maxRecords: 16_384,
  /** Time that other nodes have to answer; a caller waits for it. */
  askTimeoutMs: 250,
  /** Time for one read of the changes that this node hasn't heard of; a caller waits for it. */
  listTimeoutMs: 500,
  /** How long they aren't read again after the source didn't answer. */
  listRetryMs: 500,
  /** Time for the search in the source's history; a caller waits for it. */
  historyTimeoutMs: 1_000,
  /** How long the history isn't read again after the source didn't answer. */
  historyRetryMs: 1_000,
} as const;
