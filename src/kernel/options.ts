/** Tunables of the kernel. */
export const KERNEL_OPTIONS = {
  /** Longest wait for tasks to end on disposal; a task that ignores its signal is then left. */
  disposeTimeoutMs: 5_000,
} as const;

/** Tunables of the log. */
export const LOG_OPTIONS = {
  /** Lines of any kind that are written a second. */
  ordinaryLinesPerSecond: 200,
  /** Lines beyond them about requests that didn't go the usual way. */
  importantLinesPerSecond: 200,
  /** Time whose lines may be written at once after a quiet spell. */
  burstSeconds: 3,
  /** Unwritten bytes, of a reader that is behind, at which lines are left out. */
  maxUnwrittenBytes: 524_288,
  msPerSecond: 1_000,
} as const;
