/** Options of the decision log. */
export const EXPLAIN_OPTIONS = {
  /** Requests whose decisions are kept, about 1 KB each; the oldest are evicted first. */
  maxRequests: 5_000,
  /** Timeout of a lookup at the node that made the decisions. */
  lookupTimeoutMs: 1_000,
} as const;
