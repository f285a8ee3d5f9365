/** Options of the metrics. */
export const METRICS_OPTIONS = {
  /** Bounds around the target of 1.4 s. */
  firstTokenBucketsSeconds: [0.05, 0.1, 0.2, 0.4, 0.7, 1, 1.4, 2, 4, 8, 16, 32, 64],
  /** Bounds around the target of 55 ms; the upper ones show stalls. */
  tokenGapBucketsSeconds: [0.005, 0.01, 0.02, 0.03, 0.04, 0.055, 0.08, 0.12, 0.25, 0.5, 1, 4, 16],
  stallBucketsSeconds: [0, 1, 2, 4, 8, 16, 32, 64, 128, 256],
  waitBucketsSeconds: [0.001, 0.01, 0.1, 0.5, 1, 2, 5, 10, 30, 60, 120, 300],
} as const;
