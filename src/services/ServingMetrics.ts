/**
 * Measures of the service that customers get, by customer and kind of work.
 */

/** @public */
export interface MetricLabels {
  readonly customer: string;
  readonly kindOfWork: string;
}

/** @public */
export abstract class ServingMetrics {
  abstract observeFirstToken(labels: MetricLabels, delayMs: number): void;

  abstract observeTokenGap(labels: MetricLabels, gapMs: number): void;

  /** Sum of the gaps beyond the stall threshold in one generation. */
  abstract observeStall(labels: MetricLabels, stallMs: number): void;

  abstract countPreemption(labels: MetricLabels): void;

  abstract observeWait(labels: MetricLabels, waitMs: number): void;

  abstract countAnswer(labels: MetricLabels, outcome: string): void;

  /** All metrics in the Prometheus text format, with its content type. */
  abstract render(): Promise<{ readonly contentType: string; readonly text: string }>;
}
