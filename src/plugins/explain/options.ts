/** Tunables of the decision log. */
export const EXPLAIN_OPTIONS = {
  /** Requests whose decisions are kept; the oldest go first. Some 1 KB each. */
  keptRequests: 5_000,
} as const;
