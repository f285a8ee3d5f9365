/**
 * A request that is being served, with everything that was decided when it was admitted.
 */
import type { Deadline, EndpointId, Route } from '../../core';
import type { DispatchParameters, RequestDialect, ServingRequest } from '../../services';
import type { CallerBody, CallerExchange } from './CallerExchange';
import type { EndpointMessage } from './EndpointConnection';
import type { PlacementInput } from './EndpointPlacer';

/** One sending of a request to an endpoint, for the log. @internal */
export interface SentAttempt {
  readonly endpointId: EndpointId;
  readonly outcome: string;
  readonly afterMs: number;
}

/** @internal */
export class AdmittedRequest {
  /** Endpoints that the request was sent to. */
  sentTo: ReadonlyArray<EndpointId> = [];

  attempts: ReadonlyArray<SentAttempt> = [];

  constructor(
    readonly exchange: CallerExchange,
    readonly request: ServingRequest,
    readonly route: Route,
    readonly work: PlacementInput,
    readonly body: CallerBody,
    /** Monotonic time at which the caller, or the route, gives up. */
    readonly deadlineMs: number,
    private readonly deadline: Deadline,
  ) {}

  /** Aborted at the deadline or when the caller has gone. */
  get signal(): AbortSignal {
    return this.deadline.signal;
  }

  stopDeadline(): void {
    this.deadline.stop();
  }

  get clause(): string {
    return `routes.${this.route.name}`;
  }

  /** Whether the body can be sent another time. */
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
