/**
 * State of an admitted request: its route, and the attempts to send it.
 */
import type {
  CallerRequestId,
  EndpointId,
  RequestFingerprint,
  RequestPart,
  Route,
} from '../../core';
import { CRASH_EVIDENCE_OPTIONS } from '../../decisions';
import type {
  DispatchParameters,
  KnownBackEnd,
  RequestDialect,
  ServingRequest,
} from '../../services';
import type { CallerBody } from './CallerBody';
import type { CallerExchange } from './CallerExchange';
import type { EndpointMessage } from './EndpointConnection';
import type { PlacementInput } from './EndpointPlacer';
import type { PassedRequest } from './passedRequest';
import type { RunningRequest } from './RunningRequest';
import type { SentBody } from './SentBody';

/** One attempt to send a request to an endpoint, as it is logged. @internal */
export interface SentAttempt {
  readonly endpointId: EndpointId;
  readonly softwareVersion: string | undefined;
  readonly outcome: string;
  readonly afterMs: number;
  /** Bytes of the body that were handed to the connection so far. */
  readonly bodyBytes: number;
}

interface RecordedAttempt extends Omit<SentAttempt, 'bodyBytes'> {
  readonly body: SentBody;
}

/** Returns what a request may have in common with others that crash endpoints. @internal */
export function listRequestParts(
  { sharedPromptParts }: ServingRequest,
  fingerprint: RequestFingerprint,
): ReadonlyArray<RequestPart> {
  return [fingerprint, ...sharedPromptParts].slice(0, CRASH_EVIDENCE_OPTIONS.maxPartsPerSuspect);
}

/** @internal */
export class AdmittedRequest {
  private recordedAttempts: ReadonlyArray<RecordedAttempt> = [];

  /** Endpoints that crashed before this request had any output there. */
  crashesAtStart = 0;

  constructor(
    private readonly running: RunningRequest,
    readonly request: ServingRequest,
    readonly route: Route,
    private currentWork: PlacementInput,
    readonly body: CallerBody,
    /** Whether it is the trial of a quarantined part, which is sent to one endpoint only. */
    readonly isTrial: boolean,
    /** By which the request is recognised when it comes again. */
    readonly fingerprint: RequestFingerprint,
    /** Undefined unless another node has passed the request to this one. */
    readonly passed: PassedRequest | undefined,
  ) {}

  /** By which the request is held in quarantine. */
  get parts(): ReadonlyArray<RequestPart> {
    return listRequestParts(this.request, this.fingerprint);
  }

  get work(): PlacementInput {
    return this.currentWork;
  }

  /** From now on the request goes only to endpoints with this software version. */
  keepToVersion(softwareVersion: string): void {
    if (this.currentWork.softwareVersion === softwareVersion) return;
    this.currentWork = { ...this.currentWork, softwareVersion };
  }

  /** The attempt by which callers name the stream when they take it up again. */
  get firstRequestId(): CallerRequestId {
    return this.request.resumedRequestId ?? this.request.requestId;
  }

  get exchange(): CallerExchange {
    return this.running.exchange;
  }

  /** Aborts at the deadline or when the caller disconnects. */
  get signal(): AbortSignal {
    return this.running.signal;
  }

  /** Monotonic time at which the timeout of the caller or of the route expires. */
  get deadlineMs(): number {
    return this.running.deadlineMs;
  }

  /** Endpoints that may have received the request. */
  get sentTo(): ReadonlyArray<EndpointId> {
    return this.running.sentTo;
  }

  set sentTo(endpointIds: ReadonlyArray<EndpointId>) {
    this.running.sentTo = endpointIds;
  }

  /** Endpoints that may have received the request, here and at the node that has passed it on. */
  get triedEndpoints(): number {
    return this.sentTo.length + (this.passed?.endpointsTried ?? 0);
  }

  /** Whether an attempt failed before anything was sent. */
  get hasUnsentAttempt(): boolean {
    return this.recordedAttempts.some(({ endpointId }) => !this.sentTo.includes(endpointId));
  }

  /** Records that the request is about to be written to another node. */
  markPassed(): void {
    this.running.isPassed = true;
  }

  /** Records that the other node has not run the request and won't. */
  markRefused(): void {
    this.running.isPassed = false;
  }

  get clause(): string {
    return `routes.${this.route.name}`;
  }

  get attempts(): ReadonlyArray<SentAttempt> {
    return this.recordedAttempts.map(({ body, ...attempt }) => ({
      ...attempt,
      bodyBytes: body.bytes,
    }));
  }

  recordAttempt(
    { endpointId, softwareVersion }: KnownBackEnd,
    outcome: string,
    body: SentBody,
    nowMs: number,
  ): void {
    const afterMs = Math.round(nowMs - this.exchange.arrivedAtMs);
    const attempt = { endpointId, softwareVersion, outcome, afterMs, body };
    this.recordedAttempts = [...this.recordedAttempts, attempt];
  }

  createMessage(
    dialect: RequestDialect,
    order: DispatchParameters,
    { content }: SentBody,
  ): EndpointMessage {
    const { method, target } = this.request;
    const headers = dialect.writeHeaders(this.request, order);
    return { method, target, headers, body: content };
  }
}
