/** Options of the kernel. */
export const KERNEL_OPTIONS = {
  /** Maximum wait for tasks to end on disposal; a task that ignores its signal is abandoned. */
  disposeTimeoutMs: 5_000,
} as const;

/** Options of the log. */
export const LOG_OPTIONS = {
  /** Rate limit for lines of any kind. */
  ordinaryLinesPerSecond: 200,
  /** Additional rate limit for important lines, such as those about failed requests. */
  importantLinesPerSecond: 200,
  /** Burst after an idle period, as seconds of lines at the rate limit. */
  burstSeconds: 3,
  /** Buffered output above which lines are dropped, because the reader does not keep up. */
  maxUnwrittenBytes: 524_288,
  msPerSecond: 1_000,
} as const;
