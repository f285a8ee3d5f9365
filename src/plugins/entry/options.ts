/** Options of the list of addresses for callers. */
export const ENTRY_OPTIONS = {
  /**
   * How long a caller may cache the response. A drain doesn't wait for cached responses to expire,
   * but a draining node lists only the other nodes.
   */
  maxAgeMs: 5_000,
  /** Maximum number of addresses in one response. */
  maxAddresses: 16,
} as const;
