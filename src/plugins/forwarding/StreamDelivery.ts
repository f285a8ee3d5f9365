/**
 * Delivers responses as a stream of events while an engine produces them.
 *
 * A stream consists of segments. When an engine leaves or is lost, the run continues from a copy of
 * its KV cache; where the route allows it, a new run may instead resume after the last event. Only
 * complete events are forwarded, and the head of the response is sent with the first of them.
 */
import { ServingError, type EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import { ServingMetrics, StreamOrigins } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import type { CrashReporter } from './CrashReporter';
import type { EndpointPlacer } from './EndpointPlacer';
import { isSuccess } from './EndpointSender';
import { EventSplitter } from './EventSplitter';
import { FORWARDING_OPTIONS } from './options';
import { readFromProcess } from './readFromProcess';
import { RequestDelivery } from './RequestDelivery';
import type { OutputEstimator } from './OutputEstimator';
import { QuarantineGuard } from './QuarantineGuard';
import type { RetryPolicy } from './RetryPolicy';
import type { RunMigrator } from './RunMigrator';
import type { SegmentOpener } from './SegmentOpener';
import type { SilenceWatch } from './SilenceWatch';
import type { StreamOpening } from './StreamOpening';
import { StreamProgress } from './StreamProgress';
import type { NextSegment, StreamSegment } from './StreamSegment';
import type { RunningStream } from './Takeover';
import { getSoftwareVersion } from './UsableEndpoints';

type SegmentEnd =
  | { readonly end: 'complete' }
  | { readonly end: 'taken-over' }
  | {
      readonly end: 'broken';
      readonly reason: string;
      /** Monotonic time of the first output of the segment; undefined if there was none. */
      readonly outputSinceMs: number | undefined;
    };

/** @internal */
export interface StreamParts {
  readonly placer: EndpointPlacer;
  readonly opening: StreamOpening;
  readonly opener: SegmentOpener;
  readonly retries: RetryPolicy;
  readonly migrator: RunMigrator;
  readonly silence: SilenceWatch;
  readonly estimator: OutputEstimator;
  readonly crashes: CrashReporter;
}

/** @internal */
export class StreamDelivery extends RequestDelivery {
  private readonly guard: QuarantineGuard;

  constructor(
    private readonly kernel: Kernel,
    private readonly parts: StreamParts,
  ) {
    super();
    this.guard = new QuarantineGuard(kernel);
  }

  override async deliver(admitted: AdmittedRequest): Promise<void> {
    const { exchange, work } = admitted;
    const profile = work.configuration.services.get(work.service)?.engine;
    const progress = new StreamProgress(profile?.tokensPerEvent ?? 1);
    let segment = await this.begin(admitted, await this.parts.opening.open(admitted), progress);
    while (segment) {
      const ended = await this.relay(admitted, segment, progress);
      if (ended.end === 'complete' || admitted.signal.aborted) this.abandonNext(segment);
      if (ended.end === 'complete') {
        this.writeHead(admitted, progress);
        exchange.end();
        this.parts.estimator.observe(work, progress.outputTokens);
        return;
      }
      admitted.signal.throwIfAborted();
      segment = await this.openNext(admitted, segment, progress, ended);
    }
  }

  /** Releases what was prepared for the next segment of a stream that has ended. */
  private abandonNext(segment: StreamSegment): void {
    void segment.abandonMigration();
    void segment.takeover?.discard();
  }

  /** Returns the segment that has taken over, or opens one after an engine has broken off a run. */
  private async openNext(
    admitted: AdmittedRequest,
    segment: StreamSegment,
    progress: StreamProgress,
    ended: Exclude<SegmentEnd, { readonly end: 'complete' }>,
  ): Promise<StreamSegment> {
    const { takeover } = segment;
    // The engine is lost, so an attempt that is still open is the best continuation.
    takeover?.commit();
    if (ended.end === 'broken') await this.reportBroken(admitted, segment, ended.outputSinceMs);
    const successor = await takeover?.successor;
    if (takeover && successor) {
      void segment.abandonMigration(successor);
      this.kernel.get(ServingMetrics).countContinuation(takeover.kind);
      return successor;
    }
    const reason = ended.end === 'broken' ? ended.reason : 'The run was taken over and lost.';
    return this.continueStream(admitted, segment, progress, reason);
  }

  /** Forwards an error response as it is; returns the segment of a stream. */
  private async begin(
    admitted: AdmittedRequest,
    segment: StreamSegment,
    progress: StreamProgress,
  ): Promise<StreamSegment | undefined> {
    const { head } = segment;
    const { exchange, clause } = admitted;
    if (isSuccess(head)) {
      const target = progress;
      target.head = head;
      return segment;
    }
    try {
      const chunks: Uint8Array[] = [];
      let size = 0;
      for await (const chunk of this.readSegment(segment)) {
        chunks.push(chunk);
        size += chunk.length;
        if (size > FORWARDING_OPTIONS.maxBufferedResponseBytes) {
          throw new ServingError('endpoint-failed', { detail: 'The error response is too long.' });
        }
      }
      exchange.writeHead(head.status, head.headers);
      exchange.end(Buffer.concat(chunks));
    } catch (thrown) {
      const { detail } = ServingError.from(thrown);
      throw new ServingError('answer-lost', { detail, clause, cause: thrown });
    } finally {
      segment.end();
    }
    return undefined;
  }

  private async reportBroken(
    admitted: AdmittedRequest,
    { placed }: StreamSegment,
    outputSinceMs: number | undefined,
  ): Promise<void> {
    const report = async (): Promise<void> =>
      this.parts.opener.reportCrash(admitted, placed.backEnd, true, outputSinceMs);
    // A stream with output goes on without waiting for the report.
    if (outputSinceMs === undefined) await report();
    else this.kernel.runTask('report crash', report);
  }

  /** Forwards the events of one segment to the caller. */
  private async relay(
    admitted: AdmittedRequest,
    segment: StreamSegment,
    progress: StreamProgress,
  ): Promise<SegmentEnd> {
    const { clock } = this.kernel;
    const splitter = new EventSplitter();
    const { endpointId } = segment.placed.backEnd;
    const sound = this.parts.crashes.watchBeginning(admitted);
    segment.startWaiting(clock.nowMs());
    this.parts.migrator.track({ admitted, segment, progress });
    this.parts.silence.track({ admitted, segment, progress });
    try {
      for await (const chunk of this.readSegment(segment)) {
        const events = splitter.push(chunk);
        if (!events) continue;
        if (!(await segment.letEventPass())) return { end: 'taken-over' };
        if (progress.outputTokens === 0) this.recordOrigin(admitted, segment);
        this.writeHead(admitted, progress);
        progress.record(events);
        segment.recordTokens(progress.outputTokens);
        sound.observe();
        await admitted.exchange.write(events.bytes, admitted.signal);
        segment.markReadStart(clock.nowMs());
      }
      splitter.checkEnd();
      if (await segment.mayBeStopped()) {
        throw new ServingError('endpoint-failed', { detail: 'The run was stopped to migrate it.' });
      }
      sound.complete();
      segment.placed.markComplete();
      this.parts.placer.recordOutcome(endpointId, 'answered');
      return { end: 'complete' };
    } catch (thrown) {
      if (segment.takeover?.isCommitted) return { end: 'taken-over' };
      const reason = ServingError.from(thrown).detail;
      return { end: 'broken', reason, outputSinceMs: sound.outputSinceMs };
    } finally {
      segment.end();
    }
  }

  /** Events of another software version must not follow, here or when the caller comes back. */
  private recordOrigin(admitted: AdmittedRequest, { placed }: StreamSegment): void {
    const { service } = placed.backEnd;
    const softwareVersion = getSoftwareVersion(placed.backEnd);
    admitted.keepToVersion(softwareVersion);
    if (!admitted.route.isResumable) return;
    this.kernel.get(StreamOrigins).record(admitted.firstRequestId, { service, softwareVersion });
  }

  private readSegment({ placed, response }: StreamSegment): AsyncGenerator<Uint8Array> {
    return readFromProcess(this.kernel, placed.backEnd, response);
  }

  private writeHead({ exchange }: AdmittedRequest, { head }: StreamProgress): void {
    if (exchange.hasAnswered || !head) return;
    exchange.writeHead(head.status, head.headers);
  }

  /** Opens the next segment after an engine has broken off a run, or throws `answer-lost`. */
  private async continueStream(
    admitted: AdmittedRequest,
    segment: StreamSegment,
    progress: StreamProgress,
    reason: string,
  ): Promise<StreamSegment> {
    const from = segment.placed.backEnd.endpointId;
    const { lastEventId } = progress;
    const stream = { admitted, segment, progress };
    const refusal = this.guard.findRefusal(admitted);
    if (refusal) void segment.abandonMigration();
    const next = refusal ? undefined : await this.findNextSegment(stream);
    this.kernel.log.info('decision', {
      requestId: admitted.request.requestId,
      step: 'retry',
      what: 'stream broken off',
      from,
      reason,
      lastEventId,
      outputTokens: progress.outputTokens,
      outcome: next ? 'goes on from copied memory' : (refusal?.detail ?? 'no copy'),
      isBodyKept: admitted.body.isKept,
    });
    const metrics = this.kernel.get(ServingMetrics);
    if (next) {
      const continued = await this.parts.opener.openFromCopy(admitted, next, progress);
      if (continued) {
        metrics.countContinuation('from-copy');
        return continued;
      }
    }
    if (!next) this.parts.placer.recordOutcome(from, 'failed');
    const resumed = refusal ? undefined : await this.resume(admitted, from, progress);
    if (resumed) {
      metrics.countContinuation('new-run');
      return resumed;
    }
    metrics.countContinuation('cut');
    throw new ServingError('answer-lost', {
      detail: `${from} broke off the stream after event ${lastEventId ?? 'none'}: ${reason}`,
      clause: admitted.clause,
    });
  }

  /** A planned migration, or the backup of a run whose engine was lost, within the retry budget. */
  private async findNextSegment(stream: RunningStream): Promise<NextSegment | undefined> {
    const migrated = await stream.segment.migration;
    if (migrated) return migrated;
    return this.parts.migrator.recover(stream);
  }

  /** Starts a new run that resumes after the last event, if the route allows it. */
  private async resume(
    admitted: AdmittedRequest,
    from: EndpointId,
    progress: StreamProgress,
  ): Promise<StreamSegment | undefined> {
    if (!admitted.route.isResumable || !this.parts.retries.takeRetry(admitted)) return undefined;
    const placed = this.parts.opener.placeNewRun(admitted, from);
    return placed && this.parts.opener.openNewRun(admitted, placed, progress);
  }
}
