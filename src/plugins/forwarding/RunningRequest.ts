/**
 * A request from the arrival of its head to its outcome, with the deadline of its answer.
 */
import {
  startDeadline,
  type CallerRequestId,
  type Clock,
  type Deadline,
  type EndpointId,
} from '../../core';
import type { CallerExchange, ExchangeOutcome } from './CallerExchange';
import { FORWARDING_OPTIONS } from './options';
import type { PassedRequest } from './passedRequest';

/** @internal */
export class RunningRequest {
  /** Endpoints that may have received the request. */
  sentTo: ReadonlyArray<EndpointId> = [];

  /** Statement of the node that has passed the request to this one. */
  private passedRequest: PassedRequest | undefined;

  /** Whether another node may have received the request and not refused it. */
  isPassed = false;

  private callerRequestId: CallerRequestId | undefined;

  private currentDeadlineMs: number;

  private timer: Deadline;

  private isDeadlinePassed = false;

  private readonly ended = new AbortController();

  constructor(
    readonly exchange: CallerExchange,
    private readonly clock: Clock,
  ) {
    this.currentDeadlineMs = exchange.arrivedAtMs + FORWARDING_OPTIONS.unroutedTimeoutMs;
    this.timer = this.startTimer();
    exchange.disconnectSignal.addEventListener('abort', () => this.stopTask(), { once: true });
  }

  /** Whether an endpoint may have run the request. */
  get mayHaveRun(): boolean {
    return this.sentTo.length > 0 || this.isPassed;
  }

  /** Undefined until the head has been decoded. */
  get requestId(): CallerRequestId | undefined {
    return this.callerRequestId;
  }

  /** Monotonic time at which the timeout of the caller or of the route expires. */
  get deadlineMs(): number {
    return this.currentDeadlineMs;
  }

  /** Aborts at the deadline, when the caller disconnects, or when the request is ended. */
  get signal(): AbortSignal {
    return this.ended.signal;
  }

  /** Whether the request was stopped by its deadline. */
  get isOverdue(): boolean {
    return this.isDeadlinePassed;
  }

  /** Undefined while the request has no outcome. */
  get outcome(): ExchangeOutcome | undefined {
    return this.exchange.ending;
  }

  identify(requestId: CallerRequestId, passed: PassedRequest | undefined): void {
    this.callerRequestId = requestId;
    this.passedRequest = passed;
  }

  /** Undefined unless another node has passed the request to this one. */
  get passed(): PassedRequest | undefined {
    return this.passedRequest;
  }

  setDeadline(deadlineMs: number): void {
    if (deadlineMs === this.currentDeadlineMs || this.signal.aborted) return;
    this.currentDeadlineMs = deadlineMs;
    this.timer.stop();
    this.timer = this.startTimer();
  }

  /** Makes the task end; an endpoint that works on the request stops. */
  stopTask(): void {
    this.timer.stop();
    this.ended.abort();
  }

  private startTimer(): Deadline {
    const timer = startDeadline(this.currentDeadlineMs - this.clock.nowMs());
    timer.signal.addEventListener('abort', () => {
      this.isDeadlinePassed = true;
      this.ended.abort();
    });
    return timer;
  }
}
