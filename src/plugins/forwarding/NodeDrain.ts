/**
 * State of this node's planned shutdown, as far as callers' requests are concerned.
 */
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
import { FORWARDING_OPTIONS } from './options';
import type { EstimateInput, OutputEstimator } from './OutputEstimator';
import type { RunningRequest } from './RunningRequest';

/** A request that is to be sent to an endpoint. @internal */
export interface DrainedRequest {
  readonly route: Route;
  readonly work: EstimateInput & { readonly service: string };
  readonly deadlineMs: number;
}

/** @internal */
export class NodeDrain {
  private schedule: DrainSchedule | undefined;

  private hasEnded = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly estimator: OutputEstimator,
    private readonly pace: EndpointPace,
  ) {}

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

  /** Refuses all requests from now on, as the process is about to exit. */
  end(): void {
    this.hasEnded = true;
  }

  /** @throws ServingError `draining` once the process is about to exit. */
  checkEnd(): void {
    if (this.hasEnded) throw this.createRefusal('This node is about to exit.');
  }

  /** Returns the error for a request that the end of the shutdown interrupts. */
  explainEnd({ sentTo, mayHaveRun }: RunningRequest): ServingError {
    if (!mayHaveRun) return this.createRefusal('This node is about to exit.');
    return new ServingError('answer-lost', {
      detail: `This node exited before ${sentTo.at(-1) ?? 'another node'} had answered.`,
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
