/**
 * Serves each caller's request in a task of its own, from its arrival to the end of the response.
 */
import { ServingError, startDeadline, type EngineProfile, type ErrorKind } from '../../core';
import { admitToRoute, chooseService } from '../../decisions';
import type { Kernel } from '../../kernel';
import {
  Deployment,
  Members,
  RequestDialect,
  ServingMetrics,
  type ServingRequest,
} from '../../services';
import { AdmittedRequest } from './AdmittedRequest';
import type { CallerBody, CallerExchange } from './CallerExchange';
import { FORWARDING_OPTIONS } from './options';
import type { DrainedRequest, NodeDrain } from './NodeDrain';
import { QuarantineGuard } from './QuarantineGuard';
import type { RetryPolicy } from './RetryPolicy';
import type { StreamDelivery } from './StreamDelivery';
import type { WholeDelivery } from './WholeDelivery';

/** Body limit while no configuration is known; such requests are refused after the body is read. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** @internal */
export interface ForwarderParts {
  readonly whole: WholeDelivery;
  readonly stream: StreamDelivery;
  readonly retries: RetryPolicy;
  readonly drain: NodeDrain;
}

/** @internal */
export class RequestForwarder {
  private readonly guard: QuarantineGuard;

  constructor(
    private readonly kernel: Kernel,
    private readonly parts: ForwarderParts,
  ) {
    this.guard = new QuarantineGuard(kernel);
  }

  async serve(exchange: CallerExchange): Promise<void> {
    let request: ServingRequest | undefined;
    let admitted: AdmittedRequest | undefined;
    try {
      request = this.kernel.get(RequestDialect).readRequest(exchange.requestLine, exchange.headers);
      admitted = await this.parts.drain.waitFor(this.admit(exchange, request));
      const { route } = admitted;
      await (route.delivery === 'stream' ? this.parts.stream : this.parts.whole).deliver(admitted);
    } catch (thrown) {
      this.fail(exchange, request, admitted, thrown);
    }
    admitted?.stopDeadline();
    this.finish(exchange, request, admitted);
  }

  private async admit(exchange: CallerExchange, request: ServingRequest): Promise<AdmittedRequest> {
    const deployment = this.kernel.get(Deployment);
    const body = await this.readBody(exchange);
    const { clock } = this.kernel;
    const verdict = admitToRoute(
      {
        configuration: deployment.configuration,
        confirmedAgeMs: deployment.getConfirmedAgeMs(),
        bounds: deployment.bounds,
        host: request.host,
        target: request.target,
        apiKey: request.apiKey,
      },
      FORWARDING_OPTIONS,
    );
    if (verdict.outcome === 'refuse') {
      const { kind, detail, clause, retryAfterMs } = verdict;
      throw new ServingError(kind, { detail, clause, retryAfterMs });
    }
    const { configuration, route, holder } = verdict;
    const service = chooseService(route, request.requestId);
    if (service === undefined) {
      throw new ServingError('no-endpoint', {
        detail: 'The route leads to no service.',
        clause: `routes.${route.name}.targets`,
      });
    }
    const { prompt } = request;
    const input = { customer: holder?.customer, routeName: route.name, prompt };
    this.checkPromptSize(request, configuration.services.get(service)?.engine);
    const timeoutMs = Math.min(request.callerTimeoutMs ?? Infinity, route.answerWithinMs);
    const deadlineMs = exchange.arrivedAtMs + timeoutMs;
    const candidate = { route, work: { ...input, service }, deadlineMs };
    this.checkDrain(candidate);
    await this.waitUntilJoined(request);
    const isTrial = await this.guard.admit(request.sharedPromptParts, `routes.${route.name}`);
    // The node may have begun to drain while the request waited.
    this.checkDrain(candidate);
    this.parts.retries.recordRequest(service);
    const leftMs = Math.max(1, Math.ceil(deadlineMs - clock.nowMs()));
    return new AdmittedRequest(
      exchange,
      request,
      route,
      {
        requestId: request.requestId,
        ...input,
        configuration,
        service,
        rank: holder?.rank ?? route.rank,
        latencyGoalMs: route.latencyGoalMs,
      },
      body,
      deadlineMs,
      startDeadline(leftMs, exchange.disconnectSignal, this.parts.drain.endSignal),
      isTrial,
    );
  }

  /** Refuses a prompt that no engine can hold; each of them would refuse it as if it were full. */
  private checkPromptSize({ prompt }: ServingRequest, engine: EngineProfile | undefined): void {
    if (!prompt || !engine || prompt.promptTokens <= engine.memoryTokens) return;
    throw new ServingError('request-too-large', {
      detail: `The prompt has ${prompt.promptTokens} tokens; an engine holds ${engine.memoryTokens}.`,
    });
  }

  /**
   * Holds prompts on a new node until it knows which parts the others have quarantined. They are not
   * refused, as most callers would have to come back before that.
   */
  private async waitUntilJoined({ sharedPromptParts }: ServingRequest): Promise<void> {
    if (sharedPromptParts.length === 0) return;
    const members = this.kernel.get(Members);
    while (!members.hasJoined()) {
      await this.kernel.clock.sleep(FORWARDING_OPTIONS.joinCheckIntervalMs);
    }
  }

  private checkDrain(candidate: DrainedRequest): void {
    const refusal = this.parts.drain.findRefusal(candidate);
    if (refusal) throw refusal;
  }

  private async readBody(exchange: CallerExchange): Promise<CallerBody> {
    const { limits } = this.kernel.get(Deployment).configuration ?? {};
    if (limits) exchange.checkHeaders(limits.maxHeaderBytes);
    const maxBytes = limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    return exchange.readBody(FORWARDING_OPTIONS.maxReplayableBodyBytes, maxBytes);
  }

  private fail(
    exchange: CallerExchange,
    request: ServingRequest | undefined,
    admitted: AdmittedRequest | undefined,
    thrown: unknown,
  ): void {
    if (exchange.disconnectSignal.aborted) return;
    const error = this.explainFailure(exchange, admitted, thrown);
    if (error.kind === 'internal') this.kernel.log.error('request failed', { cause: thrown });
    const dialect = this.kernel.get(RequestDialect);
    exchange.fail(error, request ? dialect.writeAnswerHeaders(request.requestId) : []);
    this.kernel.get(ServingMetrics).countRefusal(error.kind);
    this.logRefusal(request, error.kind, error);
  }

  private explainFailure(
    { arrivedAtMs }: CallerExchange,
    admitted: AdmittedRequest | undefined,
    thrown: unknown,
  ): ServingError {
    if (!admitted?.signal.aborted) return ServingError.from(thrown);
    const ended = this.parts.drain.explainEnd(admitted);
    if (ended) return ended;
    return new ServingError('answer-timeout', {
      detail: `No complete response within ${Math.round(admitted.deadlineMs - arrivedAtMs)} ms.`,
      clause: `${admitted.clause}.answerWithinMs`,
      cause: thrown,
    });
  }

  private logRefusal(
    request: ServingRequest | undefined,
    kind: ErrorKind,
    { clause, detail, retryAfterMs }: ServingError,
  ): void {
    this.kernel.log.info('decision', {
      requestId: request?.requestId,
      step: 'refuse',
      kind,
      clause,
      reason: detail,
      retryAfterMs,
      confirmedAgeMs: Math.round(this.kernel.get(Deployment).getConfirmedAgeMs()),
    });
  }

  private finish(
    exchange: CallerExchange,
    request: ServingRequest | undefined,
    admitted: AdmittedRequest | undefined,
  ): void {
    const { clock, log } = this.kernel;
    const { firstWrittenAtMs, arrivedAtMs } = exchange;
    const firstMs = firstWrittenAtMs === undefined ? undefined : firstWrittenAtMs - arrivedAtMs;
    const outcome = exchange.disconnectSignal.aborted ? 'caller left' : exchange.outcome;
    log.info('request', {
      requestId: request?.requestId,
      customer: admitted?.work.customer,
      route: admitted?.route.name,
      configurationVersion: admitted?.work.configuration.version,
      outcome,
      attempts: admitted?.attempts,
      firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
      totalMs: Math.round(clock.nowMs() - arrivedAtMs),
    });
    if (!admitted) return;
    const labels = { customer: admitted.work.customer ?? '', kindOfWork: admitted.route.name };
    const metrics = this.kernel.get(ServingMetrics);
    metrics.countAnswer(labels, outcome);
    if (firstMs !== undefined) metrics.observeFirstToken(labels, firstMs);
  }
}
