/** Options of reading the records that the platform publishes. */
export const PUBLISHED_OPTIONS = {
  /**
   * How long the platform may hold a watch request before it answers that nothing changed. This
   * adds to the age of the readers' confirmations. Two readers in each of 14 data centres make 112
   * calls per second of the 2,000 allowed.
   */
  watchTimeoutMs: 500,
  /** Timeout of one read, in addition to the watch timeout. */
  readTimeoutMs: 3_000,
  /** Maximum records per read; 256 contracts of 4 KB come close to the 1 MB limit of a value. */
  pageSize: 256,
  /**
   * Longest answer that is read; a page of the configuration has about 1 MB.
   */
  maxAnswerBytes: 8_388_608,
  /** Delay before a failed or stale read is retried; after a failure, up to twice as long. */
  retryDelayMs: 500,
  /** Nodes of each data centre that watch a source. */
  readersPerDataCentre: 2,
  /** Interval at which a node that isn't reading checks whether it should start. */
  readerCheckIntervalMs: 250,
  /** Maximum random delay before the first read, which spreads the reads of a starting fleet. */
  firstReadJitterMs: 300,
  /** Time that a new node waits for a copy from its peers before it reads the source. */
  askPeersMs: 1_500,
  /** Age of the newest confirmation above which a node stops relying on the readers. */
  takeOverAgeMs: 3_500,
  /** Maximum random time that each node adds to the two limits above. */
  maxJitterMs: 1_500,
} as const;
