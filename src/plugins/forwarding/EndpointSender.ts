/**
 * Sends a request to one endpoint and classifies the outcome of the attempt.
 */
import { ServingError } from '../../core';
import type { Kernel } from '../../kernel';
import {
  Deployment,
  RequestDialect,
  ServingMetrics,
  type AnswerHead,
  type AttemptOutcome,
  type HeaderList,
  type KvCacheCopy,
  type KnownBackEnd,
  type ServingRequest,
} from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import type { SendableBody } from './CallerBody';
import type { EndpointResponse } from './EndpointResponse';
import type { EndpointConnections } from './EndpointConnections';
import type { EndpointPlacer } from './EndpointPlacer';
import type { EndpointLimits } from './NamedLimits';
import type { NodeDrain } from './NodeDrain';
import type { ReachMonitor } from './ReachMonitor';
import { SentBody } from './SentBody';

/** Outcome of one attempt. @internal */
export type SendOutcome =
  | { readonly outcome: 'answered'; readonly head: AnswerHead; readonly answer: EndpointResponse }
  /** The endpoint confirms that it hasn't run the request and won't, or nothing was sent. */
  | { readonly outcome: 'not-run'; readonly reason: string; readonly wasSent: boolean }
  /** The request may have run. */
  | { readonly outcome: 'lost'; readonly reason: string };

/** Point at which a run that began on another engine continues. @internal */
export interface RunContinuation {
  readonly lastEventId: string | undefined;
  readonly continueFrom: KvCacheCopy | undefined;
}

/** @internal */
export interface SendOptions {
  readonly continuation?: RunContinuation;
  readonly backUpTo?: string;
  /** Called right before the request is written to a connection. */
  readonly markWriting?: () => void;
}

/** Reason logged for an attempt that was cancelled because another one succeeded. */
const CANCELLED = 'cancelled';

const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;

function classifyAttempt(sent: SendOutcome): AttemptOutcome {
  if (sent.outcome !== 'not-run') return sent.outcome;
  return sent.wasSent ? 'shed' : 'unreachable';
}

export function isSuccess({ status }: AnswerHead): boolean {
  return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
}

function hasHeader(headers: HeaderList, name: string): boolean {
  return headers.some(([each]) => each.toLowerCase() === name);
}

/** A body with an encoding that the caller didn't accept can't be read by the caller. */
function hasUnwantedEncoding(request: ServingRequest, answer: EndpointResponse): boolean {
  const isEncoded = hasHeader(answer.headers, 'content-encoding');
  return isEncoded && !hasHeader(request.headers, 'accept-encoding');
}

/** @internal */
export class EndpointSender {
  constructor(
    private readonly kernel: Kernel,
    private readonly connections: EndpointConnections,
    private readonly placer: EndpointPlacer,
    private readonly drain: NodeDrain,
    private readonly limits: EndpointLimits,
    private readonly reach: ReachMonitor,
  ) {}

  async send(
    admitted: AdmittedRequest,
    sendable: SendableBody,
    backEnd: KnownBackEnd,
    signal: AbortSignal,
    { continuation, backUpTo, markWriting }: SendOptions = {},
  ): Promise<SendOutcome> {
    const { clock } = this.kernel;
    const deadlineMs = this.drain.limitDeadline(admitted.deadlineMs);
    const dialect = this.kernel.get(RequestDialect);
    const body = new SentBody(sendable.open());
    const order = {
      expectedEndpointId: backEnd.endpointId,
      customer: admitted.work.customer,
      remainingMs: Math.max(1, Math.floor(deadlineMs - clock.nowMs())),
      lastEventId: continuation?.lastEventId ?? admitted.request.lastEventId,
      continueFrom: continuation?.continueFrom,
      backUpTo,
      priority: this.placer.pacer.findPriority(admitted.work),
    };
    const message = admitted.createMessage(dialect, order, body);
    const outcome = await this.sendAndClassify(
      admitted,
      backEnd,
      { ...message, markWriting },
      signal,
    );
    this.recordAttempt(admitted, backEnd, outcome, body);
    return outcome;
  }

  /** Whether any endpoint of the request's service accepts connections of this node. */
  reaches({ work }: AdmittedRequest): boolean {
    return this.reach.reaches(work.service);
  }

  private async sendAndClassify(
    admitted: AdmittedRequest,
    backEnd: KnownBackEnd,
    message: ReturnType<AdmittedRequest['createMessage']>,
    signal: AbortSignal,
  ): Promise<SendOutcome> {
    const sentAtMs = this.kernel.clock.nowMs();
    let answer: EndpointResponse;
    try {
      answer = await this.connections.send(backEnd, message, signal);
    } catch (thrown) {
      const error = ServingError.from(thrown);
      const reason = this.explainFailure(admitted, signal, error);
      if (error.kind === 'endpoint-unreachable') {
        return { outcome: 'not-run', reason, wasSent: false };
      }
      return { outcome: 'lost', reason };
    }
    const head = this.kernel
      .get(RequestDialect)
      .readAnswer(admitted.request, answer.status, answer.headers);
    // An earlier refusal can arrive once more where the answer to this request is due.
    if (!head.isForRequest || (head.namesNoRequest && answer.isOnUsedConnection)) {
      answer.abort();
      return { outcome: 'lost', reason: 'the response belongs to another request' };
    }
    // Endpoints that reject requests are reached too.
    this.reach.recordReceived(admitted.work.service);
    if (head.isLeaving && !head.isOtherEndpoint) {
      this.kernel.get(Deployment).recordLeavingAnswer(backEnd);
    }
    this.recordCold(admitted, backEnd, head);
    this.recordLimits(backEnd, head, sentAtMs);
    if (head.isNotRun || head.isOtherEndpoint) {
      void answer.drain();
      const reason = head.isOtherEndpoint ? 'the address belongs to another endpoint' : 'shed';
      return { outcome: 'not-run', reason, wasSent: true };
    }
    if (isSuccess(head) && !head.isSigned) {
      answer.abort();
      return { outcome: 'lost', reason: 'the response has no signature' };
    }
    if (isSuccess(head) && hasUnwantedEncoding(admitted.request, answer)) {
      answer.abort();
      return { outcome: 'lost', reason: 'the response has an encoding that was not asked for' };
    }
    return { outcome: 'answered', head, answer };
  }

  /** A cold time matters only where the service limits what its cold endpoints get. */
  private recordCold(
    { work }: AdmittedRequest,
    backEnd: KnownBackEnd,
    { coldRemainingMs = 0, isOtherEndpoint }: AnswerHead,
  ): void {
    const profile = work.configuration.services.get(work.service);
    if (coldRemainingMs === 0 || isOtherEndpoint || !profile?.coldRequestsPerSecond) return;
    this.kernel.get(Deployment).recordColdAnswer(backEnd, coldRemainingMs);
  }

  private recordLimits(backEnd: KnownBackEnd, head: AnswerHead, sentAtMs: number): void {
    if (head.isOtherEndpoint) return;
    this.limits.requests.record(backEnd, head.requestLimitPerSecond, sentAtMs);
    this.limits.rejections.record(backEnd, head.maxRejectionsPerSecond, sentAtMs);
  }

  private explainFailure(
    admitted: AdmittedRequest,
    signal: AbortSignal,
    error: ServingError,
  ): string {
    if (admitted.exchange.disconnectSignal.aborted) return 'the caller disconnected';
    if (admitted.signal.aborted) return 'no response before the deadline';
    return signal.aborted ? CANCELLED : error.detail;
  }

  private recordAttempt(
    admitted: AdmittedRequest,
    backEnd: KnownBackEnd,
    outcome: SendOutcome,
    body: SentBody,
  ): void {
    const { endpointId } = backEnd;
    const nowMs = this.kernel.clock.nowMs();
    const metrics = this.kernel.get(ServingMetrics);
    metrics.countAttempt(admitted.work.service, classifyAttempt(outcome));
    if (outcome.outcome === 'answered') {
      this.placer.health.recordReceived(endpointId, nowMs);
      admitted.recordAttempt(backEnd, String(outcome.head.status), body, nowMs);
      return;
    }
    admitted.recordAttempt(backEnd, `${outcome.outcome}: ${outcome.reason}`, body, nowMs);
    // A disconnect of the caller is no failure of the endpoint; an expired deadline is one.
    if (!admitted.exchange.disconnectSignal.aborted && outcome.reason !== CANCELLED) {
      this.placer.recordOutcome(endpointId, 'failed');
    }
  }
}
