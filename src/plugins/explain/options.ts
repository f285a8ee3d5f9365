/** Tunables of the decision log. */
export const EXPLAIN_OPTIONS = {
  /** Requests whose decisions are kept; the oldest go first. Some 1 KB each. */
  maxRequests: 5_000,
  /** Time limit for asking the node that decided. */
  lookupTimeoutMs: 1_000,
} as const;
