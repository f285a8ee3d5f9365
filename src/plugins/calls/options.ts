/** Options of calls to services. */
export const CALL_OPTIONS = {
  /** Timeout for opening a connection to a service. */
  connectTimeoutMs: 1_000,
  /** Largest response body that is forwarded from a service. */
  maxAnswerBytes: 4_194_304,
} as const;
