/**
 * State of this node's planned shutdown, as far as callers' requests are concerned.
 */
import { setMaxListeners } from 'node:events';
import { ServingError, type Route } from '../../core';
import {
  admitWhileDraining,
  computeDrainSchedule,
  estimateDurationMs,
  type DrainSchedule,
  type EndpointPace,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, Members } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import { FORWARDING_OPTIONS } from './options';
import type { EstimateInput, OutputEstimator } from './OutputEstimator';

/** A request that is to be sent to an endpoint. @internal */
export interface DrainedRequest {
  readonly route: Route;
  readonly work: EstimateInput & { readonly service: string };
  readonly deadlineMs: number;
}

/** @internal */
export class NodeDrain {
  private schedule: DrainSchedule | undefined;

  private readonly endController = new AbortController();

  constructor(
    private readonly kernel: Kernel,
    private readonly estimator: OutputEstimator,
    private readonly pace: EndpointPace,
  ) {
    // Every running request adds a listener.
    setMaxListeners(0, this.endController.signal);
  }

  /** Aborted once the remaining requests have to be answered, as the process is about to exit. */
  get endSignal(): AbortSignal {
    return this.endController.signal;
  }

  /** Monotonic time at which the process exits; in the past if no shutdown was announced. */
  get exitDeadlineMs(): number {
    return this.schedule?.exitDeadlineMs ?? -Infinity;
  }

  /** Starts the shutdown; its schedule stays the same whatever is reconfigured afterwards. */
  start(): DrainSchedule {
    const { shutdownGraceMs } = this.kernel.get(Deployment).bounds;
    this.schedule ??= computeDrainSchedule(
      this.kernel.clock.nowMs(),
      shutdownGraceMs,
      FORWARDING_OPTIONS,
    );
    return this.schedule;
  }

  /** Returns why a request must not be sent any more; undefined if it may be. */
  findRefusal({ route, work, deadlineMs }: DrainedRequest): ServingError | undefined {
    if (!this.schedule) return undefined;
    const nowMs = this.kernel.clock.nowMs();
    const verdict = admitWhileDraining(
      {
        leftMs: this.schedule.answerDeadlineMs - nowMs,
        timeLimitMs: deadlineMs - nowMs,
        expectedMs: this.estimateDurationMs(route, work),
        mayRunAgain: route.delivery === 'stream' ? route.isResumable : route.isRepeatable,
        hasOtherNode: this.hasOtherNode(),
      },
      FORWARDING_OPTIONS,
    );
    if (verdict.outcome === 'admit') return undefined;
    const { detail, retryAfterMs } = verdict;
    return new ServingError('draining', { detail, clause: `routes.${route.name}`, retryAfterMs });
  }

  /** Limits the deadline that an endpoint is given to the end of the shutdown. */
  limitDeadline(deadlineMs: number): number {
    return Math.min(deadlineMs, this.schedule?.answerDeadlineMs ?? Infinity);
  }

  /** Ends all requests that are still running, and all that arrive from now on. */
  endRequests(): void {
    this.endController.abort();
  }

  /** Waits for a step before a request is sent. @throws ServingError `draining` at the end. */
  async waitFor<T>(step: Promise<T>): Promise<T> {
    const { endSignal } = this;
    let onEnd = (): void => {};
    const ended = new Promise<never>((_resolve, reject) => {
      onEnd = () => reject(this.createRefusal('This node is about to exit.'));
      endSignal.addEventListener('abort', onEnd);
      if (endSignal.aborted) onEnd();
    });
    try {
      return await Promise.race([ended, step]);
    } finally {
      endSignal.removeEventListener('abort', onEnd);
    }
  }

  /**
   * Returns the error for a request that the end of the shutdown has interrupted; undefined if it
   * ended for another reason.
   */
  explainEnd(admitted: AdmittedRequest): ServingError | undefined {
    if (!this.endSignal.aborted || this.kernel.clock.nowMs() >= admitted.deadlineMs) {
      return undefined;
    }
    if (admitted.sentTo.length === 0) return this.createRefusal('This node is about to exit.');
    return new ServingError('answer-lost', {
      detail: `This node exited before ${admitted.sentTo.at(-1)} had answered.`,
      clause: admitted.clause,
    });
  }

  private estimateDurationMs(
    route: Route,
    work: EstimateInput & { readonly service: string },
  ): number | undefined {
    const nowMs = this.kernel.clock.nowMs();
    return estimateDurationMs({
      route,
      expectedTokens: work.prompt && this.estimator.getRemaining(work, 0),
      pacesMs: this.kernel
        .get(Deployment)
        .listAssignable(work.service)
        .flatMap(({ endpointId }) => this.pace.get(endpointId, nowMs) ?? []),
    });
  }

  private hasOtherNode(): boolean {
    return this.kernel
      .get(Members)
      .listLive()
      .some(({ takesCallers }) => takesCallers);
  }

  private createRefusal(detail: string): ServingError {
    const { otherNodeRetryAfterMs, noNodeRetryAfterMs } = FORWARDING_OPTIONS;
    return new ServingError('draining', {
      detail,
      clause: 'bounds.shutdownGraceMs',
      retryAfterMs: this.hasOtherNode() ? otherNodeRetryAfterMs : noNodeRetryAfterMs,
    });
  }
}
