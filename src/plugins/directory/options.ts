/** Options of the directory's answers to callers. */
export const DIRECTORY_OPTIONS = {
  /** How long callers may cache an answer, and so may still be sent to a node that has failed. */
  maxAnswerAgeMs: 2_000,
} as const;
