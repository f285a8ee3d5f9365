/**
 * Runs generations on engines, with one sequential task for each request.
 */
import {
  createGenerationId,
  findKindByName,
  getDecidingVm,
  getErrorAnswer,
  ServingError,
  type EndpointId,
} from '../../core';
import { decideRestart, type RestartVerdict } from '../../decisions';
import type { Kernel } from '../../kernel';
import {
  DecisionLog,
  Fleet,
  Generations,
  LimitLeases,
  Router,
  ServingMetrics,
  type Assignment,
  type FleetEndpoint,
  type GenerationReference,
  type GenerationRequest,
  type GenerationReceiver,
  type MetricLabels,
} from '../../services';
import { createDrainingError } from '../../wire';
import type { EngineClient } from './EngineClient';
import {
  ResumingReader,
  StartingReader,
  type EngineReader,
  type ReaderParameters,
} from './EngineReader';
import {
  createGenerationToken,
  formatEventId,
  readGenerationToken,
  readLastEventId,
  type GenerationTokenPayload,
} from './generationToken';
import type { GenerationOptions } from './options';
import { StreamMeter } from './StreamMeter';
import { handleDisconnect, waitForAny } from './handleDisconnect';
import { watchStall, type StallWatchParameters } from './watchStall';

interface RelayParameters {
  readonly reader: EngineReader;
  readonly receiver: GenerationReceiver;
  readonly meter: StreamMeter;
  readonly token: string;
  readonly requestInfo: StallWatchParameters['requestInfo'];
  readonly onToken: (outputTokens: number) => void;
}

/** Returns the metric label for a response that ended without an error. */
function getOutcomeLabel({ disconnectSignal }: GenerationReceiver): string {
  if (!disconnectSignal.aborted) return 'complete';
  return disconnectSignal.reason instanceof ServingError
    ? disconnectSignal.reason.kind
    : 'caller-left';
}

/**
 * Replaces a failure that means "not run" by `engine-lost` once the request has started a
 * generation: it may have run.
 */
function replaceNotRunFailure(failure: ServingError, startedGenerations: number): ServingError {
  if (startedGenerations === 0 || getErrorAnswer(failure.kind).run !== 'not-run') return failure;
  return new ServingError('engine-lost', { detail: failure.detail, cause: failure });
}

/** @internal */
export class EngineGenerations extends Generations {
  private readonly activeReaders = new Set<EngineReader>();

  private readonly draining = new AbortController();

  private readonly fleet: Fleet;

  private readonly router: Router;

  private readonly decisions: DecisionLog;

  constructor(
    private readonly kernel: Kernel,
    private readonly client: EngineClient,
    private readonly options: GenerationOptions,
  ) {
    super();
    this.fleet = kernel.get(Fleet);
    this.router = kernel.get(Router);
    this.decisions = kernel.get(DecisionLog);
  }

  async run(request: GenerationRequest, receiver: GenerationReceiver): Promise<void> {
    this.refuseWhenDraining();
    const arrivedAtMs = this.kernel.clock.nowMs();
    const { kind } = request.clause;
    const labels = { customer: request.inForce.contract.customer, kindOfWork: kind.name };
    const [limits] = this.kernel.getAll(LimitLeases);
    const slot = await limits?.acquire(
      request.inForce,
      'generation',
      arrivedAtMs + kind.maxWaitMs,
      request.requestId,
    );
    try {
      await this.runAttempts(request, receiver, labels, arrivedAtMs);
      this.countAnswer(labels, getOutcomeLabel(receiver));
    } catch (thrown) {
      const error = ServingError.from(thrown);
      this.countAnswer(
        labels,
        receiver.disconnectSignal.aborted ? getOutcomeLabel(receiver) : error.kind,
      );
      throw error;
    } finally {
      slot?.release();
    }
  }

  async resume(
    reference: GenerationReference,
    lastEventId: string | undefined,
    receiver: GenerationReceiver,
  ): Promise<void> {
    this.refuseWhenDraining();
    const { payload, endpoint, labels } = this.resolveReference(reference);
    const after = readLastEventId(reference.token, lastEventId);
    const { contract } = reference.inForce;
    const reader = new ResumingReader(
      this.createReaderParameters(endpoint, payload.generationId, receiver),
      after,
    );
    const ended = new AbortController();
    // A delayed resume can attach after the caller has resumed on another node. Its node therefore
    // never cancels the generation, which would end the stream that the caller reads.
    void waitForAny([receiver.disconnectSignal, ended.signal]).then(() => reader.stop());
    try {
      await this.relay({
        reader,
        receiver,
        meter: this.createMeter(endpoint, labels, undefined),
        token: reference.token,
        requestInfo: {
          requestId: reference.requestId,
          inForce: reference.inForce,
          kindOfWork: payload.kindOfWork,
          clause: findKindByName(contract, payload.kindOfWork)?.path,
        },
        onToken: () => {},
      });
      this.countAnswer(
        labels,
        receiver.disconnectSignal.aborted ? getOutcomeLabel(receiver) : 'resumed',
      );
    } finally {
      ended.abort();
    }
  }

  async cancel(reference: GenerationReference): Promise<void> {
    const { payload, endpoint } = this.resolveReference(reference);
    for (let attempt = 0; attempt < this.options.cancelAttempts; attempt++) {
      const attaching = new AbortController();
      const timeout = AbortSignal.timeout(this.options.cancelTimeoutMs);
      timeout.addEventListener('abort', () => attaching.abort(), { once: true });
      try {
        // The engine accepts a cancel from the newest attachment only.
        const { attachment } = await this.client.resume(
          endpoint,
          payload.generationId,
          undefined,
          attaching.signal,
        );
        const outcome = await this.client.cancel(endpoint, payload.generationId, attachment);
        if (outcome !== 'refused') return;
      } catch (thrown) {
        throw ServingError.from(thrown, 'endpoint-failed');
      } finally {
        attaching.abort();
      }
    }
    throw new ServingError('endpoint-failed', {
      detail: 'The engine refused the cancel because other readers kept attaching.',
    });
  }

  /** Leaves generations without a caller to their engines; the others continue. */
  startDrain(): void {
    this.draining.abort();
  }

  dispose(): void {
    this.draining.abort();
    this.activeReaders.forEach((reader) => reader.stop());
  }

  private refuseWhenDraining(): void {
    if (this.kernel.state === 'draining') throw createDrainingError(this.fleet);
  }

  /** Tries engines until one completes the request or the contract allows no further attempt. */
  private async runAttempts(
    request: GenerationRequest,
    receiver: GenerationReceiver,
    labels: MetricLabels,
    arrivedAtMs: number,
  ): Promise<void> {
    let excluded: ReadonlyArray<EndpointId> = [];
    let startedGenerations = 0;
    for (;;) {
      const assignment = await this.assign(
        request,
        excluded,
        startedGenerations,
        receiver.disconnectSignal,
      );
      const { endpoint } = assignment;
      this.metrics?.observeWait(labels, this.kernel.clock.nowMs() - arrivedAtMs);
      const reader = new StartingReader(
        this.createReaderParameters(endpoint, createGenerationId(), receiver),
        request,
      );
      try {
        const meter = this.createMeter(endpoint, labels, arrivedAtMs);
        await this.runAttempt(request, receiver, assignment, reader, meter);
        return;
      } catch (thrown) {
        // A cancel for a disconnected caller ends the stream with an error, which isn't reported.
        if (receiver.disconnectSignal.aborted) return;
        const failure = ServingError.from(thrown, 'engine-lost');
        excluded = [...excluded, endpoint.endpointId];
        startedGenerations += reader.mayHaveStarted ? 1 : 0;
        const verdict = decideRestart({
          failure: failure.kind,
          startedGenerations,
          refusals: excluded.length - startedGenerations,
          attempts: request.clause.kind.attempts,
          maxRefusals: this.options.maxRefusals,
          canRestart: receiver.canRestart && !receiver.disconnectSignal.aborted,
        });
        this.recordFailure(request, endpoint, failure, verdict);
        if (!verdict.restart) throw replaceNotRunFailure(failure, startedGenerations);
        if (reader.mayHaveStarted) this.cancelReplaced(reader);
      }
    }
  }

  private async assign(
    request: GenerationRequest,
    excluded: ReadonlyArray<EndpointId>,
    startedGenerations: number,
    signal: AbortSignal,
  ): Promise<Assignment> {
    try {
      return await this.router.assign({ ...request, excluded }, signal);
    } catch (thrown) {
      throw replaceNotRunFailure(ServingError.from(thrown), startedGenerations);
    }
  }

  private async runAttempt(
    request: GenerationRequest,
    receiver: GenerationReceiver,
    assignment: Assignment,
    reader: StartingReader,
    meter: StreamMeter,
  ): Promise<void> {
    const { requestId, inForce, clause } = request;
    const ended = new AbortController();
    void handleDisconnect(
      {
        clock: this.kernel.clock,
        log: this.kernel.log,
        options: this.options,
        reader,
        disconnectSignal: receiver.disconnectSignal,
        draining: this.draining.signal,
        decisions: this.decisions,
        request,
      },
      ended.signal,
    );
    try {
      await this.relay({
        reader,
        receiver,
        meter,
        token: createGenerationToken(this.kernel.settings.fleetKey, {
          customer: inForce.contract.customer,
          endpointId: assignment.endpoint.endpointId,
          generationId: reader.generationId,
          startedBy: getDecidingVm(requestId),
          kindOfWork: clause.kind.name,
        }),
        requestInfo: { requestId, inForce, kindOfWork: clause.kind.name, clause: clause.path },
        onToken: (outputTokens) => assignment.reportTokens(outputTokens),
      });
    } finally {
      ended.abort();
      assignment.release({ complete: reader.isComplete, outputTokens: meter.tokenCount });
    }
  }

  /** Relays the events of one generation to its caller, at the caller's pace. */
  private async relay(relay: RelayParameters): Promise<void> {
    const { reader, receiver, meter, token, onToken } = relay;
    const ended = new AbortController();
    const { clock } = this.kernel;
    const watch: StallWatchParameters = {
      ...relay,
      clock,
      options: this.options,
      decisions: this.decisions,
    };
    this.activeReaders.add(reader);
    void watchStall(watch, ended.signal);
    receiver.begin(token);
    try {
      for await (const event of reader.read()) {
        meter.recordToken();
        onToken(meter.tokenCount);
        if (!receiver.disconnectSignal.aborted) {
          const eventId = formatEventId(token, event.position);
          const drained = receiver.write({ eventId, data: event.data });
          if (drained) await drained;
        }
        meter.startWaiting();
      }
    } finally {
      ended.abort();
      meter.finish();
      this.activeReaders.delete(reader);
    }
  }

  /** Cancels a replaced generation, whose engine may be alive behind a broken connection. */
  private cancelReplaced(reader: StartingReader): void {
    void reader.cancelUnlessResumed().catch((thrown: unknown) => {
      const { endpointId } = reader.endpoint;
      this.kernel.log.debug('cancel failed', { endpoint: endpointId, cause: thrown });
    });
  }

  private recordFailure(
    { requestId, inForce, clause }: GenerationRequest,
    endpoint: FleetEndpoint,
    failure: ServingError,
    verdict: RestartVerdict,
  ): void {
    this.decisions.record({
      requestId,
      customer: inForce.contract.customer,
      kindOfWork: clause.kind.name,
      contractRevision: inForce.revision,
      clause: `${clause.path}.attempts`,
      step: verdict.restart ? 'retry' : 'finish',
      passedOver: [{ candidate: endpoint.endpointId, reason: failure.detail }],
      reason: `${failure.kind}: ${verdict.reason}`,
    });
  }

  private resolveReference(reference: GenerationReference): {
    readonly payload: GenerationTokenPayload;
    readonly endpoint: FleetEndpoint;
    readonly labels: MetricLabels;
  } {
    const payload = readGenerationToken(
      this.kernel.settings.fleetKey,
      reference.token,
      reference.customer,
    );
    const endpoint = this.fleet.findEndpoint(payload.endpointId);
    if (!endpoint) {
      throw new ServingError('unknown-generation', {
        detail: `${payload.endpointId} is not in the list of endpoints.`,
      });
    }
    return {
      payload,
      endpoint,
      labels: { customer: payload.customer, kindOfWork: payload.kindOfWork },
    };
  }

  private createReaderParameters(
    endpoint: FleetEndpoint,
    generationId: GenerationTokenPayload['generationId'],
    receiver: GenerationReceiver,
  ): ReaderParameters {
    const { client, options } = this;
    const { clock } = this.kernel;
    return {
      client,
      clock,
      options,
      endpoint,
      generationId,
      disconnectSignal: receiver.disconnectSignal,
    };
  }

  private createMeter(
    endpoint: FleetEndpoint,
    labels: MetricLabels,
    arrivedAtMs: number | undefined,
  ): StreamMeter {
    const { fleet, metrics, options } = this;
    const { clock } = this.kernel;
    return new StreamMeter({ clock, options, metrics, labels, fleet, endpoint, arrivedAtMs });
  }

  private get metrics(): ServingMetrics | undefined {
    return this.kernel.getAll(ServingMetrics)[0];
  }

  private countAnswer(labels: MetricLabels, outcome: string): void {
    this.metrics?.countAnswer(labels, outcome);
  }
}
