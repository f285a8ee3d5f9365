/** Tunables of the decision log. */
export const EXPLAIN_OPTIONS = {
  /** Requests whose decisions are kept; the oldest go first. Some 1 KB each. */
  keptRequests: 5_000,
  /** Time limit for asking the node that decided. */
  askTimeoutMs: 1_000,
} as const;
