/**
 * Sends a new stream to engines until one of them answers with a head.
 *
 * A caller leaves a stream that doesn't begin, at its own deadline or earlier. Shortly before, the
 * request is answered with an error, so that it never ends without any answer because its engine is
 * silent.
 */
import { ServingError, startDeadline, type EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import type { AdmittedRequest } from './AdmittedRequest';
import type { SendableBody } from './CallerBody';
import { createBodyGoneError } from './createBodyGoneError';
import type { EndpointPlacer, RequestReservation } from './EndpointPlacer';
import type { NodeDrain } from './NodeDrain';
import { FORWARDING_OPTIONS } from './options';
import { QuarantineGuard } from './QuarantineGuard';
import type { RetryPolicy } from './RetryPolicy';
import type { SegmentOpener, UnansweredOutcome } from './SegmentOpener';
import { StreamSegment } from './StreamSegment';

/** @internal */
export class StreamOpening {
  private readonly guard: QuarantineGuard;

  constructor(
    private readonly kernel: Kernel,
    private readonly placer: EndpointPlacer,
    private readonly opener: SegmentOpener,
    private readonly retries: RetryPolicy,
    private readonly drain: NodeDrain,
  ) {
    this.guard = new QuarantineGuard(kernel);
  }

  /** @throws ServingError when no engine has answered. */
  async open(admitted: AdmittedRequest): Promise<StreamSegment> {
    let excluded: ReadonlyArray<EndpointId> = [];
    let lostReason: string | undefined;
    for (let isFirst = true; ; isFirst = false) {
      let placed: RequestReservation;
      let body: SendableBody;
      try {
        placed = isFirst
          ? await this.placeFirst(admitted)
          : this.placer.place(admitted.work, excluded, 'retry');
        this.checkBeforeSend(admitted, placed);
        body = this.takeBody(admitted, placed);
      } catch (thrown) {
        throw this.explainUnsent(admitted, thrown, lostReason);
      }
      const sent = await this.send(admitted, body, placed);
      if (sent instanceof StreamSegment) return sent;
      admitted.signal.throwIfAborted();
      if (sent.outcome === 'lost') lostReason = sent.reason;
      excluded = [...excluded, placed.backEnd.endpointId];
      const isUnsent = sent.outcome === 'not-run' && !sent.wasSent;
      const mayRetry = isUnsent || sent.outcome === 'not-run' || admitted.route.isResumable;
      if (mayRetry && this.mayTryAgain(admitted, isUnsent)) continue;
      throw this.explainUnsent(
        admitted,
        new ServingError('overloaded', {
          detail: sent.reason,
          clause: admitted.clause,
          retryAfterMs: FORWARDING_OPTIONS.retryAfterMs,
        }),
        lostReason,
      );
    }
  }

  private mayTryAgain(admitted: AdmittedRequest, isUnsent: boolean): boolean {
    return isUnsent ? this.opener.reaches(admitted) : this.retries.takeRetry(admitted);
  }

  /**
   * Sends the request to one engine.
   * @throws ServingError `answer-timeout` if its caller is about to leave.
   */
  private async send(
    admitted: AdmittedRequest,
    body: SendableBody,
    placed: RequestReservation,
  ): Promise<StreamSegment | UnansweredOutcome> {
    const { exchange, signal } = admitted;
    const headWithinMs = this.computeHeadWithinMs(admitted);
    const headDeadlineMs = exchange.arrivedAtMs + headWithinMs;
    const limit = startDeadline(headDeadlineMs - this.kernel.clock.nowMs());
    try {
      const sent = await this.opener.open(admitted, body, placed, {
        signal: AbortSignal.any([signal, limit.signal]),
      });
      const isLate = limit.signal.aborted && !signal.aborted;
      if (sent instanceof StreamSegment || sent.outcome !== 'lost' || !isLate) return sent;
    } finally {
      limit.stop();
      body.release();
    }
    throw new ServingError('answer-timeout', {
      detail: `The stream did not begin within ${Math.round(headWithinMs)} ms.`,
      clause: `${admitted.clause}.latencyGoalMs`,
    });
  }

  /** Returns the time from the arrival in which an error still reaches the caller. */
  private computeHeadWithinMs({ route, exchange, deadlineMs }: AdmittedRequest): number {
    const { maxLeavingMarginMs, leavingMarginShare } = FORWARDING_OPTIONS;
    const waitsMs = Math.min(route.abandonedAfterMs, deadlineMs - exchange.arrivedAtMs);
    return waitsMs - Math.min(maxLeavingMarginMs, waitsMs * leavingMarginShare);
  }

  /** A refusal of one attempt says nothing of an earlier one that was lost and may have run. */
  private explainUnsent(
    { clause }: AdmittedRequest,
    thrown: unknown,
    lostReason: string | undefined,
  ): unknown {
    if (lostReason === undefined) return thrown;
    return new ServingError('answer-lost', { detail: lostReason, clause, cause: thrown });
  }

  /** A part may have been quarantined, or a shutdown begun, while the request was held. */
  private checkBeforeSend(admitted: AdmittedRequest, placed: RequestReservation): void {
    const refusal = this.findRefusal(admitted);
    if (!refusal) return;
    placed.release();
    throw refusal;
  }

  private takeBody(admitted: AdmittedRequest, placed: RequestReservation): SendableBody {
    const body = admitted.body.take();
    if (body) return body;
    placed.release();
    throw createBodyGoneError(admitted.clause);
  }

  private findRefusal(admitted: AdmittedRequest): ServingError | undefined {
    return this.guard.findRefusal(admitted) ?? this.drain.findRefusal(admitted);
  }

  /** Waits while no engine has capacity, for as long as its caller is patient. */
  private async placeFirst(admitted: AdmittedRequest): Promise<RequestReservation> {
    const { work, route, signal, exchange, deadlineMs, body } = admitted;
    const { arrivedAtMs } = exchange;
    const patience = {
      arrivedAtMs,
      holdDeadlineMs: arrivedAtMs + route.latencyGoalMs * FORWARDING_OPTIONS.maxHoldShare,
      leavesAtMs: arrivedAtMs + this.computeHeadWithinMs(admitted),
      deadlineMs,
      bodyBytes: body.bufferedBytes,
      findRefusal: () => this.findRefusal(admitted),
    };
    const placed = await this.placer.placeNew(work, patience, signal);
    if (signal.aborted) placed.release();
    signal.throwIfAborted();
    return placed;
  }
}
