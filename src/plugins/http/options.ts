/** Options of the HTTP listeners. */
export const HTTP_OPTIONS = {
  /** Maximum size of a caller's request body; a prompt of about 100,000 tokens fits. */
  maxBodyBytes: 1_048_576,
  /** Maximum time for which a refused body is read before the refusal is sent. */
  discardTimeoutMs: 5_000,
} as const;
