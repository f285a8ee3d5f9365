/**
 * Generations on engines: one sequential task for each request.
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

/** How an answer without an error ended, as a label of the metrics. */
function describeOutcome({ disconnectSignal }: GenerationReceiver): string {
  if (!disconnectSignal.aborted) return 'complete';
  return disconnectSignal.reason instanceof ServingError
    ? disconnectSignal.reason.kind
    : 'caller-left';
}

/** A request whose generation was started once is never reported as not run. */
function keepRunOutcome(failure: ServingError, startedGenerations: number): ServingError {
  if (startedGenerations === 0 || getErrorAnswer(failure.kind).run !== 'not-run') return failure;
  return new ServingError('engine-lost', { detail: failure.detail, cause: failure });
}

/** @internal */
export class EngineGenerations extends Generations {
  private readonly running = new Set<EngineReader>();

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

  async run(order: GenerationRequest, receiver: GenerationReceiver): Promise<void> {
    this.refuseWhenDraining();
    const arrivedAtMs = this.kernel.clock.nowMs();
    const { kind } = order.clause;
    const labels = { customer: order.inForce.contract.customer, kindOfWork: kind.name };
    const [limits] = this.kernel.getAll(LimitLeases);
    const place = await limits?.acquire(
      order.inForce,
      'generation',
      arrivedAtMs + kind.maxWaitMs,
      order.requestId,
    );
    try {
      await this.runAttempts(order, receiver, labels, arrivedAtMs);
      this.countAnswer(labels, describeOutcome(receiver));
    } catch (thrown) {
      const error = ServingError.from(thrown);
      this.countAnswer(
        labels,
        receiver.disconnectSignal.aborted ? describeOutcome(receiver) : error.kind,
      );
      throw error;
    } finally {
      place?.release();
    }
  }

  async resume(
    claim: GenerationReference,
    lastEventId: string | undefined,
    receiver: GenerationReceiver,
  ): Promise<void> {
    this.refuseWhenDraining();
    const { ref, endpoint, labels } = this.readClaim(claim);
    const after = readLastEventId(claim.token, lastEventId);
    const { contract } = claim.inForce;
    const reader = new ResumingReader(
      this.createReaderParameters(endpoint, ref.generationId, receiver),
      after,
    );
    const ended = new AbortController();
    // A resume that was delayed on its way can attach after the caller has resumed elsewhere, so
    // its node never cancels: that would end the stream which the caller reads.
    void waitForAny([receiver.disconnectSignal, ended.signal]).then(() => reader.stop());
    try {
      await this.relay({
        reader,
        receiver,
        meter: this.createMeter(endpoint, labels, undefined),
        token: claim.token,
        requestInfo: {
          requestId: claim.requestId,
          inForce: claim.inForce,
          kindOfWork: ref.kindOfWork,
          clause: findKindByName(contract, ref.kindOfWork)?.path,
        },
        onToken: () => {},
      });
      this.countAnswer(
        labels,
        receiver.disconnectSignal.aborted ? describeOutcome(receiver) : 'resumed',
      );
    } finally {
      ended.abort();
    }
  }

  async cancel(claim: GenerationReference): Promise<void> {
    const { ref, endpoint } = this.readClaim(claim);
    for (let attempt = 0; attempt < this.options.cancelAttempts; attempt++) {
      const attaching = new AbortController();
      const timeout = AbortSignal.timeout(this.options.cancelTimeoutMs);
      timeout.addEventListener('abort', () => attaching.abort(), { once: true });
      try {
        // The newest attachment is the one that the engine lets cancel.
        const { attachment } = await this.client.resume(
          endpoint,
          ref.generationId,
          undefined,
          attaching.signal,
        );
        const outcome = await this.client.cancel(endpoint, ref.generationId, attachment);
        if (outcome !== 'refused') return;
      } catch (thrown) {
        throw ServingError.from(thrown, 'endpoint-failed');
      } finally {
        attaching.abort();
      }
    }
    throw new ServingError('endpoint-failed', { detail: 'Other readers kept attaching.' });
  }

  /** Leaves generations without a caller to their engines; the others run on. */
  startDrain(): void {
    this.draining.abort();
  }

  dispose(): void {
    this.draining.abort();
    this.running.forEach((reader) => reader.stop());
  }

  private refuseWhenDraining(): void {
    if (this.kernel.state === 'draining') throw createDrainingError(this.fleet);
  }

  /** Gives the request to engines until one completes it or the contract allows no more. */
  private async runAttempts(
    order: GenerationRequest,
    receiver: GenerationReceiver,
    labels: MetricLabels,
    arrivedAtMs: number,
  ): Promise<void> {
    let excluded: ReadonlyArray<EndpointId> = [];
    let startedGenerations = 0;
    for (;;) {
      const assignment = await this.assign(
        order,
        excluded,
        startedGenerations,
        receiver.disconnectSignal,
      );
      const { endpoint } = assignment;
      this.metrics?.observeWait(labels, this.kernel.clock.nowMs() - arrivedAtMs);
      const reader = new StartingReader(
        this.createReaderParameters(endpoint, createGenerationId(), receiver),
        order,
      );
      try {
        const meter = this.createMeter(endpoint, labels, arrivedAtMs);
        await this.runOnce(order, receiver, assignment, reader, meter);
        return;
      } catch (thrown) {
        // A cancel after the caller has left ends the stream with an error; nobody is to be told.
        if (receiver.disconnectSignal.aborted) return;
        const failure = ServingError.from(thrown, 'engine-lost');
        excluded = [...excluded, endpoint.endpointId];
        startedGenerations += reader.mayHaveStarted ? 1 : 0;
        const verdict = decideRestart({
          failure: failure.kind,
          startedGenerations,
          refusals: excluded.length - startedGenerations,
          attempts: order.clause.kind.attempts,
          maxRefusals: this.options.maxRefusals,
          canRestart: receiver.canRestart && !receiver.disconnectSignal.aborted,
        });
        this.recordFailure(order, endpoint, failure, verdict);
        if (!verdict.restart) throw keepRunOutcome(failure, startedGenerations);
        if (reader.mayHaveStarted) this.abandon(reader);
      }
    }
  }

  private async assign(
    order: GenerationRequest,
    excluded: ReadonlyArray<EndpointId>,
    startedGenerations: number,
    signal: AbortSignal,
  ): Promise<Assignment> {
    try {
      return await this.router.assign({ ...order, excluded }, signal);
    } catch (thrown) {
      throw keepRunOutcome(ServingError.from(thrown), startedGenerations);
    }
  }

  private async runOnce(
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

  /** Hands the events of one generation to its caller, at the caller's pace. */
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
    this.running.add(reader);
    void watchStall(watch, ended.signal);
    receiver.begin(token);
    try {
      for await (const event of reader.read()) {
        meter.recordToken();
        onToken(meter.tokenCount);
        if (!receiver.disconnectSignal.aborted) {
          const eventId = formatEventId(token, event.position);
          const behind = receiver.write({ eventId, data: event.data });
          if (behind) await behind;
        }
        meter.startWaiting();
      }
    } finally {
      ended.abort();
      meter.finish();
      this.running.delete(reader);
    }
  }

  /** Frees an engine that may live behind a broken link; its generation has been replaced. */
  private abandon(reader: StartingReader): void {
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

  private readClaim(claim: GenerationReference): {
    readonly ref: GenerationTokenPayload;
    readonly endpoint: FleetEndpoint;
    readonly labels: MetricLabels;
  } {
    const ref = readGenerationToken(this.kernel.settings.fleetKey, claim.token, claim.customer);
    const endpoint = this.fleet.findEndpoint(ref.endpointId);
    if (!endpoint) {
      throw new ServingError('unknown-generation', {
        detail: `${ref.endpointId} is not in the list of endpoints.`,
      });
    }
    return { ref, endpoint, labels: { customer: ref.customer, kindOfWork: ref.kindOfWork } };
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
