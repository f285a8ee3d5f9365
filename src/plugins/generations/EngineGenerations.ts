/**
 * Runs generations on engines, with one sequential task for each request: a new generation in one or
 * more attempts, and a generation that a caller takes up again or cancels by its token.
 */
import { findKindByName, ServingError } from '../../core';
import type { Kernel } from '../../kernel';
import {
  Fleet,
  Generations,
  LimitLeases,
  type FleetEndpoint,
  type GenerationReceiver,
  type GenerationReference,
  type GenerationRequest,
  type MetricLabels,
} from '../../services';
import { createDrainingError } from '../../wire';
import type { EngineClient } from './EngineClient';
import { ResumingReader } from './EngineReader';
import { EngineStreams } from './EngineStreams';
import { GenerationAttempts } from './GenerationAttempts';
import {
  readGenerationToken,
  readLastEventId,
  type GenerationTokenPayload,
} from './generationToken';
import { waitForAny } from './handleDisconnect';
import type { GenerationOptions } from './options';

/** Returns the metric label for a response that ended without an error. */
function getOutcomeLabel({ disconnectSignal }: GenerationReceiver): string {
  if (!disconnectSignal.aborted) return 'complete';
  return disconnectSignal.reason instanceof ServingError
    ? disconnectSignal.reason.kind
    : 'caller-left';
}

/** @internal */
export class EngineGenerations extends Generations {
  private readonly draining = new AbortController();

  private readonly fleet: Fleet;

  private readonly streams: EngineStreams;

  private readonly attempts: GenerationAttempts;

  constructor(
    private readonly kernel: Kernel,
    private readonly client: EngineClient,
    private readonly options: GenerationOptions,
  ) {
    super();
    this.fleet = kernel.get(Fleet);
    this.streams = new EngineStreams(kernel, client, options);
    const { signal } = this.draining;
    this.attempts = new GenerationAttempts(kernel, this.streams, options, signal);
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
      await this.attempts.run(request, receiver, labels, arrivedAtMs);
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
      this.streams.createReaderParameters(endpoint, payload.generationId, receiver),
      after,
    );
    const ended = new AbortController();
    // A delayed resume can attach after the caller has resumed on another node. Its node therefore
    // never cancels the generation, which would end the stream that the caller reads.
    void waitForAny([receiver.disconnectSignal, ended.signal]).then(() => reader.stop());
    try {
      await this.streams.relay({
        reader,
        receiver,
        meter: this.streams.createMeter(endpoint, labels, undefined),
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
    this.streams.stopAll();
  }

  private refuseWhenDraining(): void {
    if (this.kernel.state === 'draining') throw createDrainingError(this.fleet);
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

  private countAnswer(labels: MetricLabels, outcome: string): void {
    this.streams.metrics?.countAnswer(labels, outcome);
  }
}
