/** Tunables of the limits that nodes lease from a customer's home node. */
export const LIMIT_OPTIONS = {
  /**
   * How long a slice is held. A shorter lease ends sooner after a partition but costs a node with
   * 88 streams more than its share of 9 KB/s for renewals.
   */
  leaseMs: 5_000,
  /** A slice with work in it is renewed this long before it ends. */
  renewBeforeMs: 1_500,
  /** How often the node looks for slices to renew. */
  renewCheckMs: 500,
  /** Time limit of one request to the home node. */
  requestTimeoutMs: 1_000,
  /** First wait before a request that found no room asks again; doubles up to the longest. */
  retryDelayMs: 100,
  maxRetryDelayMs: 1_000,
  /** Requests that a customer may make at once, in seconds of its rate. */
  burstSeconds: 1,
  /** Part of the burst that a new home node starts with, since the old one may just have granted. */
  initialBurstShare: 0.5,
  /** A wait for a place that is shorter than this is no decision worth a log line. */
  minRecordedWaitMs: 50,
} as const;
