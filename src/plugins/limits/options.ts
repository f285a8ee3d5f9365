/** Options of the limits that nodes lease from a customer's home node. */
export const LIMIT_OPTIONS = {
  /**
   * Duration of a lease. A shorter lease expires sooner after a partition, but a node with
   * 88 streams would then exceed its share of 9 KB/s for renewals.
   */
  leaseMs: 5_000,
  /** A lease with running generations is renewed this long before it expires. */
  renewBeforeMs: 1_500,
  /** Interval between checks for leases to renew. */
  renewCheckMs: 500,
  /** Timeout of one request to the home node. */
  requestTimeoutMs: 1_000,
  /** Delay before the first retry of a request that got no slot; doubles up to the maximum. */
  retryDelayMs: 100,
  maxRetryDelayMs: 1_000,
  /** Token bucket capacity, in seconds of the customer's rate. */
  burstSeconds: 1,
  /**
   * Fill level of a new home node's bucket, as a share of its capacity: the previous home may have
   * granted permits just before the change.
   */
  initialBurstShare: 0.5,
  /** Shorter waits for a slot are not recorded as decisions. */
  minRecordedWaitMs: 50,
} as const;
