/** Tunables of reading and relaying what the platform publishes. */
export const PUBLISHED_OPTIONS = {
  /**
   * How long the platform may hold a watch before it answers that nothing changed. This is part of
   * the age of what the readers know; two readers in each of 14 data centres make 112 calls a
   * second of the 2,000 allowed.
   */
  watchTimeoutMs: 500,
  /** Time limit of one read beyond the wait. */
  readTimeoutMs: 3_000,
  /** Records asked for in one read; 256 contracts of 4 KB come near the 1 MB limit of a value. */
  pageSize: 256,
  /** Wait before a failed or stale read is tried again; up to twice as long at random. */
  retryDelayMs: 500,
  /** Nodes of each data centre that watch a source. */
  readersPerDataCentre: 2,
  /** Interval at which a node that doesn't read checks whether it should. */
  readerCheckIntervalMs: 250,
  /** Longest wait before the first read, which keeps a starting fleet from reading all at once. */
  firstReadJitterMs: 300,
  /** Time that a new node gives its peers before it asks the service. */
  askPeersMs: 1_500,
  /** Age of the newest confirmation at which a node stops relying on the readers. */
  takeOverAgeMs: 3_500,
  /** Upper end of the random time that each node adds to the two limits above. */
  maxJitterMs: 1_500,
} as const;
