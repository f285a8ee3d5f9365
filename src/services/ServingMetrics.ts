/**
 * Metrics of the service that customers receive and of the work of this node.
 */
import type { UnreadableEntry } from '../core';

/** @public */
export interface MetricLabels {
  readonly customer: string;
  readonly kindOfWork: string;
}

/**
 * Outcome of one attempt. `answered`: a response with any status. `shed`: refused without running.
 * `unreachable`: nothing was sent. `lost`: interrupted or too late; the request may have run.
 * @public
 */
export type AttemptOutcome = 'answered' | 'shed' | 'unreachable' | 'lost';

/**
 * Outcome of passing a request to another node. `refused`: it didn't run the request. `unreachable`:
 * nothing was sent. `lost`: the request may have run.
 * @public
 */
export type PassedRequestOutcome = 'answered' | 'refused' | 'unreachable' | 'lost';

/** @public */
export type QuotaRequestOutcome = 'placed' | 'refused';

/**
 * How a stream continued after its engine was lost, silent or left. `stayed`: it waits on at its
 * silent engine, as no other one has taken the run over. `cut`: it did not continue.
 * @public
 */
export type ContinuationOutcome = 'from-copy' | 'new-run' | 'stayed' | 'cut';

/**
 * How the wait of a prompt for the prompt work of others ended. `overdue`: its own goal allowed no
 * longer wait. @public
 */
export type PromptWaitOutcome = 'started' | 'overdue';

/** `useless`: a stale answer, or an empty one before the end of its wait. @public */
export type SourceCallOutcome = 'changes' | 'no-change' | 'history-gone' | 'useless' | 'failed';

/**
 * Why a request had no answer when it should have had one. `task ended`: its task ended without one.
 * `overdue`: its deadline passed. `stop`: its node stopped. @public
 */
export type UnansweredCause = 'task ended' | 'overdue' | 'stop';

/** `refused`: no endpoint in the allowed regions was usable. @public */
export type RegionOutcome = 'placed' | 'refused';

/**
 * How the wait of a generation for room ended. `no room expected`: no room was expected before its caller
 * leaves. `expired`: it waited until then. `queue full`: it was last in the order of a full queue.
 * @public
 */
export type WaitOutcome =
  'placed in time' | 'placed late' | 'no room expected' | 'expired' | 'queue full';

/** @public */
export abstract class ServingMetrics {
  abstract observeFirstToken(labels: MetricLabels, delayMs: number): void;

  abstract observeTokenGap(labels: MetricLabels, gapMs: number): void;

  /** Records the sum of the gaps beyond the stall threshold in one generation. */
  abstract observeStall(labels: MetricLabels, stallMs: number): void;

  abstract countPreemption(labels: MetricLabels): void;

  abstract observeWait(labels: MetricLabels, waitMs: number): void;

  /** Counts one generation that waited for room on engines whose customers share it fairly. */
  abstract countWaitEnd(rank: number, outcome: WaitOutcome): void;

  abstract countAnswer(labels: MetricLabels, outcome: string): void;

  /** @param kind one of the error kinds. */
  abstract countRefusal(kind: string): void;

  /** Counts one attempt to send a request to an endpoint of the service. */
  abstract countAttempt(service: string, outcome: AttemptOutcome): void;

  /** Counts one request that was passed to another node, as this one reaches no endpoint. */
  abstract countPassedRequest(service: string, outcome: PassedRequestOutcome): void;

  /** Counts one prompt that waited at its node for the prompt work of others. */
  abstract countPromptWait(service: string, outcome: PromptWaitOutcome): void;

  /** Counts one request to an endpoint with a quota, or one that found none with quota left. */
  abstract countQuotaRequest(service: string, outcome: QuotaRequestOutcome): void;

  /** Counts one stream whose engine was lost or left, or one attempt while it was silent. */
  abstract countContinuation(outcome: ContinuationOutcome): void;

  /** Counts one request that a crash of its endpoint ended, by whether its answer had a head. */
  abstract countCrashLoss(service: string, hadHead: boolean): void;

  /** Counts one request that would have ended without an answer. */
  abstract countUnanswered(cause: UnansweredCause): void;

  /** Counts one connection that was closed or not accepted because of a limit, by its listener. */
  abstract countClosedConnection(listener: string, reason: string): void;

  /** Counts one error that nothing caught. */
  abstract countUncaughtError(): void;

  /** Counts one call of the source of the configuration. */
  abstract countSourceCall(outcome: SourceCallOutcome): void;

  /** Counts entries of a configuration that can't be read, or a version of which nothing can. */
  abstract countUnreadable(part: UnreadableEntry['part'] | 'version', count: number): void;

  /** Counts one choice of an endpoint for a request whose regions are constrained. */
  abstract countRegionConstraint(outcome: RegionOutcome): void;

  /** Counts one change of the source's era. */
  abstract countSourceEra(): void;

  /** Returns all metrics in the Prometheus text format, with its content type. */
  abstract render(): Promise<{ readonly contentType: string; readonly text: string }>;
}
