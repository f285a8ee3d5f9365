/** Tunables of the HTTP listeners. */
export const HTTP_OPTIONS = {
  /** Largest request body of a caller; a prompt of some 100,000 tokens fits. */
  maxBodyBytes: 1_048_576,
  /** Longest time for reading on a body that is refused, before the refusal is sent. */
  discardTimeoutMs: 5_000,
} as const;
