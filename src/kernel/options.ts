/** Tunables of the kernel. */
export const KERNEL_OPTIONS = {
  /** Longest wait for tasks to end on disposal; a task that ignores its signal is then left. */
  disposeTimeoutMs: 5_000,
} as const;
