/**
 * State of an admitted request: its route, its deadline, and the attempts to send it.
 */
import type { Deadline, EndpointId, Route } from '../../core';
import type { DispatchParameters, RequestDialect, ServingRequest } from '../../services';
import type { CallerBody, CallerExchange } from './CallerExchange';
import type { EndpointMessage } from './EndpointConnection';
import type { PlacementInput } from './EndpointPlacer';

/** One attempt to send a request to an endpoint, as it is logged. @internal */
export interface SentAttempt {
  readonly endpointId: EndpointId;
  readonly outcome: string;
  readonly afterMs: number;
}

/** @internal */
export class AdmittedRequest {
  /** Endpoints that may have received the request. */
  sentTo: ReadonlyArray<EndpointId> = [];

  attempts: ReadonlyArray<SentAttempt> = [];

  /** Endpoints that crashed before this request had any output there. */
  crashesAtStart = 0;

  constructor(
    readonly exchange: CallerExchange,
    readonly request: ServingRequest,
    readonly route: Route,
    readonly work: PlacementInput,
    readonly body: CallerBody,
    /** Monotonic time at which the timeout of the caller or of the route expires. */
    readonly deadlineMs: number,
    private readonly deadline: Deadline,
    /** Whether it is the trial of a quarantined part, which is sent to one endpoint only. */
    readonly isTrial: boolean,
  ) {}

  /** Aborts at the deadline or when the caller disconnects. */
  get signal(): AbortSignal {
    return this.deadline.signal;
  }

  stopDeadline(): void {
    this.deadline.stop();
  }

  get clause(): string {
    return `routes.${this.route.name}`;
  }

  /** Whether the body is buffered, so that it can be sent again. */
  get isReplayable(): boolean {
    return this.body.form === 'whole';
  }

  recordAttempt(endpointId: EndpointId, outcome: string, nowMs: number): void {
    const afterMs = Math.round(nowMs - this.exchange.arrivedAtMs);
    this.attempts = [...this.attempts, { endpointId, outcome, afterMs }];
  }

  createMessage(dialect: RequestDialect, order: DispatchParameters): EndpointMessage {
    const { method, target } = this.request;
    const headers = dialect.writeHeaders(this.request, order);
    return { method, target, headers, body: this.getBodyToSend() };
  }

  private getBodyToSend(): EndpointMessage['body'] {
    if (this.body.form === 'stream') return this.body.chunks;
    return this.body.bytes.length === 0 ? undefined : this.body.bytes;
  }
}
