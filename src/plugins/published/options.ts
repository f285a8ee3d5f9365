/** Tunables of reading and relaying what the platform publishes. */
export const PUBLISHED_OPTIONS = {
  /** How long the platform may hold a watch before it answers that nothing changed. */
  watchWaitMs: 2_000,
  /** Time limit of one read beyond the wait. */
  readTimeoutMs: 3_000,
  /** Records asked for in one read; 256 contracts of 4 KB come near the 1 MB limit of a value. */
  pageSize: 256,
  /** Wait before a failed read is tried again. */
  retryDelayMs: 500,
} as const;
