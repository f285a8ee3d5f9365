/** Options of the quarantine of parts of prompts. */
export const QUARANTINE_OPTIONS = {
  /** Parts whose newest sound request is remembered, however many callers send. */
  maxSoundParts: 4_096,
  /** Time after which a trial whose outcome is unknown no longer keeps others from being tried. */
  trialTimeoutMs: 10_000,
  /** Time that the node in charge of the trials of a part has to answer. */
  trialCallTimeoutMs: 300,
  /** Interval at which evidence beyond its retention is forgotten. */
  expireIntervalMs: 10_000,
  /** Trials that are remembered; older ones have timed out. */
  maxTrials: 256,
} as const;
