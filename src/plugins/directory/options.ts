/** Tunables of the answers to callers that ask for addresses. */
export const DIRECTORY_OPTIONS = {
  /** How long callers keep an answer; a node that fails is avoided after this time. */
  maxAnswerAgeMs: 2_000,
} as const;
