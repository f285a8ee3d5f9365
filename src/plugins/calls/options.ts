/** Tunables of calls to services. */
export const CALL_OPTIONS = {
  /** Time limit for opening a connection to a service. */
  connectTimeoutMs: 1_000,
  /** Largest answer of a service that is handed on. */
  maxAnswerBytes: 4_194_304,
} as const;
