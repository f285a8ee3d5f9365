/** Tunables of the HTTP listeners. */
export const HTTP_OPTIONS = {
  /** Largest request body of a caller; a prompt of some 100,000 tokens fits. */
  maxBodyBytes: 1_048_576,
} as const;
