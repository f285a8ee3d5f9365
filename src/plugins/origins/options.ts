/** Options of the memory of where streams began. */
export const ORIGINS_OPTIONS = {
  /** Interval at which the versions of the listed endpoints are noted. */
  observeIntervalMs: 500,
  /** Age of the knowledge of the source beyond which versions may have come and gone unseen. */
  maxGapMs: 5_000,
  /** Age up to which this node decides by its own list; otherwise it asks other nodes as well. */
  maxOwnAgeMs: 1_500,
  /** How long a version that is no longer listed is remembered. */
  versionMemoryMs: 600_000,
  /** Streams whose origin is remembered, the newest ones. */
  maxRecords: 16_384,
  /** Time that other nodes have to answer; a caller waits for it. */
  askTimeoutMs: 250,
  /** Time for the search in the source's history; a caller waits for it. */
  historyTimeoutMs: 1_000,
  /** How long the history isn't read again after the source didn't answer. */
  historyRetryMs: 1_000,
} as const;
