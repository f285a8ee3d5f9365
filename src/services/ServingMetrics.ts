/**
 * Measures of the service that customers get, and of what this node does for it.
 */

/** @public */
export interface MetricLabels {
  readonly customer: string;
  readonly kindOfWork: string;
}

/**
 * Outcome of one sending: an answer, whatever its status; a refusal without running; nothing sent;
 * broken off or too late, so that the request may have run. @public
 */
export type AttemptOutcome = 'answered' | 'shed' | 'unreachable' | 'lost';

/** How a stream went on after its engine, or that it couldn't. @public */
export type ContinuationOutcome = 'from-copy' | 'new-run' | 'cut';

/** @public */
export type SourceCallOutcome = 'changes' | 'no-change' | 'history-gone' | 'failed';

/** @public */
export abstract class ServingMetrics {
  abstract observeFirstToken(labels: MetricLabels, delayMs: number): void;

  abstract observeTokenGap(labels: MetricLabels, gapMs: number): void;

  /** Sum of the gaps beyond the stall threshold in one generation. */
  abstract observeStall(labels: MetricLabels, stallMs: number): void;

  abstract countPreemption(labels: MetricLabels): void;

  abstract observeWait(labels: MetricLabels, waitMs: number): void;

  abstract countAnswer(labels: MetricLabels, outcome: string): void;

  /** @param kind one of the error kinds. */
  abstract countRefusal(kind: string): void;

  /** One sending of a request to an endpoint of the service. */
  abstract countAttempt(service: string, outcome: AttemptOutcome): void;

  /** One stream whose engine was lost or left. */
  abstract countContinuation(outcome: ContinuationOutcome): void;

  /** One call of the source of the configuration. */
  abstract countSourceCall(outcome: SourceCallOutcome): void;

  /** All metrics in the Prometheus text format, with its content type. */
  abstract render(): Promise<{ readonly contentType: string; readonly text: string }>;
}
