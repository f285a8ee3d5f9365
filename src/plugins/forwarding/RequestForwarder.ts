/**
 * Serves each caller's request in a task of its own, from its arrival to the end of the response.
 */
import { setImmediate as turnOfEventLoop } from 'node:timers/promises';
import {
  rejectOnAbort,
  ServingError,
  type EngineProfile,
  type Route,
  type ServingConfiguration,
} from '../../core';
import {
  admitToRoute,
  chooseService,
  computeRequestFingerprint,
  findRoute,
  type StreamOrigin,
} from '../../decisions';
import type { Kernel, LogFields } from '../../kernel';
import {
  Deployment,
  Members,
  RequestDialect,
  ServingMetrics,
  type ServingRequest,
} from '../../services';
import { AdmittedRequest, listRequestParts } from './AdmittedRequest';
import type { CallerBody } from './CallerBody';
import { FORWARDING_OPTIONS } from './options';
import type { LoopDelay } from './LoopDelay';
import type { DrainedRequest, NodeDrain } from './NodeDrain';
import { readPassedRequest, type PassedRequest } from './passedRequest';
import { QuarantineGuard } from './QuarantineGuard';
import type { RequestDelivery } from './RequestDelivery';
import { createOverdueError, type RequestTable } from './RequestTable';
import { isResumed, ResumedStreams } from './ResumedStreams';
import type { RetryPolicy } from './RetryPolicy';
import type { RunningRequest } from './RunningRequest';

/** Body limit while no configuration is known; such requests are refused after the body is read. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** Describes whether a stream was on time, for the line at its end. */
function describeStream(admitted: AdmittedRequest | undefined): LogFields {
  if (admitted?.route.delivery !== 'stream') return {};
  const { route, exchange } = admitted;
  const { latencyGoalMs, maxEventGapMs } = route;
  return {
    latencyGoalMs,
    longestGapMs: Math.round(exchange.longestGapMs),
    maxEventGapMs: Number.isFinite(maxEventGapMs) ? maxEventGapMs : undefined,
  };
}

/** @internal */
export interface ForwarderParts {
  readonly table: RequestTable;
  readonly delivery: RequestDelivery;
  readonly retries: RetryPolicy;
  readonly drain: NodeDrain;
  readonly loopDelay: LoopDelay;
}

/** @internal */
export class RequestForwarder {
  private readonly guard: QuarantineGuard;

  private readonly resumed: ResumedStreams;

  constructor(
    private readonly kernel: Kernel,
    private readonly parts: ForwarderParts,
  ) {
    this.guard = new QuarantineGuard(kernel);
    this.resumed = new ResumedStreams(kernel);
  }

  async serve(running: RunningRequest): Promise<void> {
    const { exchange } = running;
    let admitted: AdmittedRequest | undefined;
    try {
      const request = this.kernel
        .get(RequestDialect)
        .readRequest(exchange.requestLine, exchange.headers);
      const passed = readPassedRequest(this.kernel.settings, request);
      running.identify(request.requestId, passed);
      this.setFirstDeadline(running, request);
      admitted = await this.admit(running, request);
      await this.parts.delivery.deliver(admitted);
    } catch (thrown) {
      this.fail(running, admitted, thrown);
    } finally {
      this.finish(running, admitted);
    }
  }

  private async admit(running: RunningRequest, request: ServingRequest): Promise<AdmittedRequest> {
    const deployment = this.kernel.get(Deployment);
    this.parts.drain.checkEnd();
    const body = await this.readBody(running);
    await this.detectEarlyDisconnect(running);
    const verdict = admitToRoute(
      {
        configuration: deployment.configuration,
        confirmedAgeMs: deployment.getConfirmedAgeMs(),
        bounds: deployment.bounds,
        host: request.host,
        target: request.target,
        apiKey: request.apiKey,
        knownRegions: deployment.listRegions(),
      },
      FORWARDING_OPTIONS,
    );
    if (verdict.outcome === 'refuse') {
      const { kind, detail, clause, retryAfterMs } = verdict;
      if (kind === 'no-allowed-region') {
        this.kernel.get(ServingMetrics).countRegionConstraint('refused');
      }
      throw new ServingError(kind, { detail, clause, retryAfterMs });
    }
    const { configuration, route, holder } = verdict;
    const { passed } = running;
    this.checkVersion(passed, configuration);
    this.setDeadline(running, request, route);
    const origin = await this.findOrigin(running, request, route);
    const service = origin?.service ?? chooseService(route, request.requestId);
    if (service === undefined) {
      throw new ServingError('no-endpoint', {
        detail: 'The route leads to no service.',
        clause: `routes.${route.name}.targets`,
      });
    }
    const { prompt } = request;
    const input = { customer: holder?.customer, routeName: route.name, prompt };
    this.checkPromptSize(request, configuration.services.get(service)?.engine);
    const { deadlineMs } = running;
    const candidate = { route, work: { ...input, service }, deadlineMs };
    this.checkDrain(candidate);
    if (request.sharedPromptParts.length > 0) await this.waitUntilJoined(running);
    const fingerprint = computeRequestFingerprint({ ...request, ...input }, body.digest);
    const isTrial = await rejectOnAbort(
      this.guard.admit(listRequestParts(request, fingerprint), `routes.${route.name}`),
      running.signal,
    );
    // The node may have begun to drain while the request waited.
    this.checkDrain(candidate);
    // The node that has passed the request on has counted it.
    if (!passed) this.parts.retries.recordRequest(service);
    return new AdmittedRequest(
      running,
      request,
      route,
      {
        requestId: request.requestId,
        ...input,
        configuration,
        service,
        softwareVersion: origin?.softwareVersion,
        rank: holder?.rank ?? route.rank,
        latencyGoalMs: route.latencyGoalMs,
        sharedPrompt: request.sharedPrompt,
        arrivedAtMs: running.exchange.arrivedAtMs,
      },
      body,
      isTrial,
      fingerprint,
      passed,
    );
  }

  /** A request that was admitted by a newer configuration isn't served by an older one. */
  private checkVersion(passed: PassedRequest | undefined, { version }: ServingConfiguration): void {
    if (!passed || passed.configurationVersion <= version) return;
    throw new ServingError('no-endpoint', {
      detail: `${passed.from} admitted the request by configuration ${passed.configurationVersion}; this node has ${version}.`,
      retryAfterMs: FORWARDING_OPTIONS.retryAfterMs,
    });
  }

  /**
   * Reads the caller's connection once more if this node was held up. The request and the close of its
   * connection may then wait in the system together, and only the request is read at first.
   */
  private async detectEarlyDisconnect({ signal }: RunningRequest): Promise<void> {
    if (!this.parts.loopDelay.wasDelayed()) return;
    // The first turn ends the one that read the request.
    await turnOfEventLoop();
    await turnOfEventLoop();
    signal.throwIfAborted();
  }

  /** While the body is read, the route is the one of the configuration at the arrival. */
  private setFirstDeadline(running: RunningRequest, request: ServingRequest): void {
    const { configuration } = this.kernel.get(Deployment);
    const route = configuration && findRoute(configuration, request.host, request.target);
    this.setDeadline(running, request, route);
  }

  private setDeadline(
    running: RunningRequest,
    { callerTimeoutMs = Infinity }: ServingRequest,
    route: Route | undefined,
  ): void {
    const routeTimeoutMs = route?.answerWithinMs ?? FORWARDING_OPTIONS.unroutedTimeoutMs;
    const timeoutMs = Math.min(callerTimeoutMs, routeTimeoutMs);
    running.setDeadline(running.exchange.arrivedAtMs + timeoutMs);
  }

  /** Refuses a prompt that no engine can hold; each of them would refuse it as if it were full. */
  private checkPromptSize({ prompt }: ServingRequest, engine: EngineProfile | undefined): void {
    if (!prompt || !engine || prompt.promptTokens <= engine.memoryTokens) return;
    throw new ServingError('request-too-large', {
      detail: `The prompt has ${prompt.promptTokens} tokens; an engine holds ${engine.memoryTokens}.`,
    });
  }

  /**
   * Holds prompts on a new node until it knows what the others have quarantined. They are not refused,
   * as most callers would have to come back before that. Calls without a prompt aren't held: their
   * goals are shorter than the wait.
   */
  private async waitUntilJoined({ signal }: RunningRequest): Promise<void> {
    const members = this.kernel.get(Members);
    while (!members.hasJoined()) {
      await this.kernel.clock.sleep(FORWARDING_OPTIONS.joinCheckIntervalMs, signal);
      signal.throwIfAborted();
    }
  }

  /** A new node first joins the others, which may know where the stream began. */
  private async findOrigin(
    running: RunningRequest,
    request: ServingRequest,
    route: Route,
  ): Promise<StreamOrigin | undefined> {
    if (!isResumed(request, route)) return undefined;
    await this.waitUntilJoined(running);
    return this.resumed.findOrigin(request, route, running.signal);
  }

  private checkDrain(candidate: DrainedRequest): void {
    const refusal = this.parts.drain.findRefusal(candidate);
    if (refusal) throw refusal;
  }

  private async readBody({ exchange, signal }: RunningRequest): Promise<CallerBody> {
    const { limits } = this.kernel.get(Deployment).configuration ?? {};
    if (limits) exchange.checkHeaders(limits.maxHeaderBytes);
    const maxBytes = limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    return exchange.readBody(FORWARDING_OPTIONS.maxBufferedBodyBytes, maxBytes, signal);
  }

  private fail(
    running: RunningRequest,
    admitted: AdmittedRequest | undefined,
    thrown: unknown,
  ): void {
    if (running.outcome) return;
    const error = running.isOverdue
      ? createOverdueError(running, admitted && `${admitted.clause}.answerWithinMs`)
      : ServingError.from(thrown);
    if (error.kind === 'internal') {
      this.kernel.log.error('request failed', { requestId: running.requestId, cause: thrown });
    }
    this.parts.table.end(running, error);
  }

  private finish(running: RunningRequest, admitted: AdmittedRequest | undefined): void {
    const { exchange, requestId } = running;
    const { clock, log } = this.kernel;
    const { firstWrittenAtMs, arrivedAtMs } = exchange;
    const firstMs = firstWrittenAtMs === undefined ? undefined : firstWrittenAtMs - arrivedAtMs;
    const outcome = running.outcome === 'caller left' ? 'caller left' : exchange.outcome;
    log.info('request', {
      requestId,
      resumes: admitted?.request.resumedRequestId,
      lastEventId: admitted?.request.lastEventId,
      customer: admitted?.work.customer,
      route: admitted?.route.name,
      configurationVersion: admitted?.work.configuration.version,
      outcome,
      bodyBytes: exchange.bodyBytes,
      attempts: admitted?.attempts,
      passedBy: admitted?.passed?.from,
      firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
      ...describeStream(admitted),
      totalMs: Math.round(clock.nowMs() - arrivedAtMs),
    });
    if (!admitted) return;
    const labels = { customer: admitted.work.customer ?? '', kindOfWork: admitted.route.name };
    const metrics = this.kernel.get(ServingMetrics);
    metrics.countAnswer(labels, outcome);
    if (firstMs !== undefined) metrics.observeFirstToken(labels, firstMs);
  }
}
