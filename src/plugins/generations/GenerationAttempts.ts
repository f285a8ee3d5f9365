/**
 * Runs a new generation: assigns it to an engine, and to another one when an attempt fails and the
 * contract allows a further one.
 */
import {
  createGenerationId,
  getDecidingVm,
  getErrorAnswer,
  ServingError,
  type EndpointId,
} from '../../core';
import { decideRestart, type RestartVerdict } from '../../decisions';
import type { Kernel } from '../../kernel';
import {
  DecisionLog,
  Router,
  type Assignment,
  type FleetEndpoint,
  type GenerationReceiver,
  type GenerationRequest,
  type MetricLabels,
} from '../../services';
import { StartingReader } from './EngineReader';
import type { EngineStreams } from './EngineStreams';
import { createGenerationToken } from './generationToken';
import { handleDisconnect } from './handleDisconnect';
import type { GenerationOptions } from './options';
import type { StreamMeter } from './StreamMeter';

/**
 * Replaces a failure that means "not run" by `engine-lost` once the request has started a
 * generation: it may have run.
 */
function replaceNotRunFailure(failure: ServingError, startedGenerations: number): ServingError {
  if (startedGenerations === 0 || getErrorAnswer(failure.kind).run !== 'not-run') return failure;
  return new ServingError('engine-lost', { detail: failure.detail, cause: failure });
}

/** @internal */
export class GenerationAttempts {
  private readonly router: Router;

  private readonly decisions: DecisionLog;

  /** @param draining aborted by a drain, which leaves generations without a caller to their engines. */
  constructor(
    private readonly kernel: Kernel,
    private readonly streams: EngineStreams,
    private readonly options: GenerationOptions,
    private readonly draining: AbortSignal,
  ) {
    this.router = kernel.get(Router);
    this.decisions = kernel.get(DecisionLog);
  }

  /** Tries engines until one completes the request or the contract allows no further attempt. */
  async run(
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
      this.streams.metrics?.observeWait(labels, this.kernel.clock.nowMs() - arrivedAtMs);
      const reader = new StartingReader(
        this.streams.createReaderParameters(endpoint, createGenerationId(), receiver),
        request,
      );
      try {
        const meter = this.streams.createMeter(endpoint, labels, arrivedAtMs);
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
        draining: this.draining,
        decisions: this.decisions,
        request,
      },
      ended.signal,
    );
    try {
      await this.streams.relay({
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
}
