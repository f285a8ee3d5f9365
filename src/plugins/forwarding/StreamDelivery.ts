/**
 * Delivers responses as a stream of events while an engine produces them.
 *
 * A stream consists of segments. When an engine leaves or is lost, the run continues from a copy of
 * its KV cache; where the route allows it, a new run may instead resume after the last event. Only
 * complete events are forwarded, and the head of the response is sent with the first of them.
 */
import { ServingError, type EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import { ServingMetrics, type AnswerHead, type KnownBackEnd } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import type { CrashReporter } from './CrashReporter';
import type { EndpointPlacer, RequestReservation } from './EndpointPlacer';
import { isSuccess, type EndpointSender, type RunContinuation } from './EndpointSender';
import { EventSplitter } from './EventSplitter';
import { FORWARDING_OPTIONS } from './options';
import type { NodeDrain } from './NodeDrain';
import type { OutputEstimator } from './OutputEstimator';
import { QuarantineGuard } from './QuarantineGuard';
import type { RetryPolicy } from './RetryPolicy';
import type { RunMigrator, RunningStream } from './RunMigrator';
import { StreamSegment, type NextSegment } from './StreamSegment';

type SegmentEnd =
  | { readonly end: 'complete' }
  | {
      readonly end: 'broken';
      readonly reason: string;
      /** Monotonic time of the first output of the segment; undefined if there was none. */
      readonly outputSinceMs: number | undefined;
    };

/** Part of a stream that has been forwarded to the caller. */
class StreamProgress {
  head: AnswerHead | undefined;

  lastEventId: string | undefined;

  events = 0;

  constructor(private readonly tokensPerEvent: number) {}

  get outputTokens(): number {
    return this.events * this.tokensPerEvent;
  }
}

/** @internal */
export interface StreamParts {
  readonly placer: EndpointPlacer;
  readonly sender: EndpointSender;
  readonly retries: RetryPolicy;
  readonly migrator: RunMigrator;
  readonly estimator: OutputEstimator;
  readonly crashes: CrashReporter;
  readonly drain: NodeDrain;
}

/** @internal */
export class StreamDelivery {
  private readonly guard: QuarantineGuard;

  constructor(
    private readonly kernel: Kernel,
    private readonly parts: StreamParts,
  ) {
    this.guard = new QuarantineGuard(kernel);
  }

  async deliver(admitted: AdmittedRequest): Promise<void> {
    const { exchange, work } = admitted;
    const profile = work.configuration.services.get(work.service)?.engine;
    const progress = new StreamProgress(profile?.tokensPerEvent ?? 1);
    let segment = await this.open(admitted, progress);
    while (segment) {
      const ended = await this.relay(admitted, segment, progress);
      if (ended.end === 'complete') {
        void segment.abandonMigration();
        this.writeHead(admitted, progress);
        exchange.end();
        this.parts.estimator.observe(work, progress.outputTokens);
        return;
      }
      if (admitted.signal.aborted) void segment.abandonMigration();
      admitted.signal.throwIfAborted();
      await this.reportBroken(admitted, segment, ended.outputSinceMs);
      segment = await this.continueStream(admitted, segment, progress, ended.reason);
    }
  }

  /** Sends the request until an engine answers it; forwards an error response as it is. */
  private async open(
    admitted: AdmittedRequest,
    progress: StreamProgress,
  ): Promise<StreamSegment | undefined> {
    let excluded: ReadonlyArray<EndpointId> = [];
    let lostReason: string | undefined;
    for (let isFirst = true; ; isFirst = false) {
      let placed: RequestReservation;
      try {
        placed = isFirst
          ? await this.placeFirst(admitted)
          : this.parts.placer.place(admitted.work, excluded, 'retry');
        this.checkBeforeSend(admitted, placed);
      } catch (thrown) {
        throw this.explainUnsent(admitted, thrown, lostReason);
      }
      const sent = await this.sendTo(admitted, placed, undefined);
      if (sent instanceof StreamSegment) return this.begin(admitted, sent, progress);
      admitted.signal.throwIfAborted();
      if (sent.outcome === 'lost') lostReason = sent.reason;
      excluded = [...excluded, placed.backEnd.endpointId];
      const isUnsent = sent.outcome === 'not-run' && !sent.wasSent;
      const mayRetry = isUnsent || sent.outcome === 'not-run' || admitted.route.isResumable;
      if (mayRetry && (isUnsent || this.parts.retries.takeRetry(admitted))) continue;
      throw this.explainUnsent(
        admitted,
        new ServingError('overloaded', {
          detail: sent.reason,
          clause: admitted.clause,
          retryAfterMs: FORWARDING_OPTIONS.retryAfterMs,
        }),
        lostReason,
      );
    }
  }

  /** A refusal of one attempt says nothing of an earlier one that was lost and may have run. */
  private explainUnsent(
    { clause }: AdmittedRequest,
    thrown: unknown,
    lostReason: string | undefined,
  ): unknown {
    if (lostReason === undefined) return thrown;
    return new ServingError('answer-lost', { detail: lostReason, clause, cause: thrown });
  }

  /** A part may have been quarantined, or a shutdown begun, while the request was held. */
  private checkBeforeSend(admitted: AdmittedRequest, placed: RequestReservation): void {
    const refusal = this.guard.findRefusal(admitted) ?? this.parts.drain.findRefusal(admitted);
    if (!refusal) return;
    placed.release();
    throw refusal;
  }

  /** Waits up to a share of the latency goal while no engine has capacity. */
  private async placeFirst({
    work,
    route,
    signal,
    exchange,
  }: AdmittedRequest): Promise<RequestReservation> {
    const holdMs = route.latencyGoalMs * FORWARDING_OPTIONS.maxHoldShare;
    const placed = await this.parts.placer.placeOrWait(work, exchange.arrivedAtMs + holdMs, signal);
    if (signal.aborted) placed.release();
    signal.throwIfAborted();
    return placed;
  }

  private async begin(
    admitted: AdmittedRequest,
    segment: StreamSegment,
    progress: StreamProgress,
  ): Promise<StreamSegment | undefined> {
    const { head } = segment;
    const { exchange } = admitted;
    if (isSuccess(head)) {
      const target = progress;
      target.head = head;
      return segment;
    }
    try {
      const chunks: Uint8Array[] = [];
      for await (const chunk of segment.response.read()) chunks.push(chunk);
      exchange.writeHead(head.status, head.headers);
      exchange.end(Buffer.concat(chunks));
    } finally {
      segment.end();
    }
    return undefined;
  }

  private async sendTo(
    admitted: AdmittedRequest,
    placed: RequestReservation,
    continuation: RunContinuation | undefined,
    producedTokens = 0,
  ): Promise<
    StreamSegment | Exclude<Awaited<ReturnType<EndpointSender['send']>>, { outcome: 'answered' }>
  > {
    const target = admitted;
    const { endpointId } = placed.backEnd;
    target.sentTo = [...admitted.sentTo, endpointId];
    const copy = admitted.isTrial
      ? undefined
      : this.parts.placer.placeBackup(admitted.work, placed.backEnd, producedTokens);
    const sent = await this.parts.sender.send(admitted, placed.backEnd, admitted.signal, {
      continuation,
      backUpTo: copy?.backEnd.address,
    });
    if (sent.outcome === 'answered') return new StreamSegment(placed, sent.head, sent.answer, copy);
    placed.release();
    copy?.release();
    if (sent.outcome === 'not-run' && !sent.wasSent) {
      target.sentTo = admitted.sentTo.filter((id) => id !== endpointId);
    }
    if (sent.outcome === 'lost' && !admitted.signal.aborted) {
      await this.reportCrash(admitted, placed.backEnd, false, undefined);
    }
    return sent;
  }

  private async reportBroken(
    admitted: AdmittedRequest,
    { placed }: StreamSegment,
    outputSinceMs: number | undefined,
  ): Promise<void> {
    const report = async (): Promise<void> =>
      this.reportCrash(admitted, placed.backEnd, true, outputSinceMs);
    // A stream with output goes on without waiting for the report.
    if (outputSinceMs === undefined) await report();
    else this.kernel.runTask('report crash', report);
  }

  private async reportCrash(
    admitted: AdmittedRequest,
    backEnd: KnownBackEnd,
    hadHead: boolean,
    outputSinceMs: number | undefined,
  ): Promise<void> {
    const target = admitted;
    const progress = { hadHead, outputSinceMs };
    const hasCrashed = await this.parts.crashes.reportLoss(admitted, backEnd, progress);
    if (hasCrashed && outputSinceMs === undefined) target.crashesAtStart += 1;
  }

  /** Forwards the events of one segment to the caller. */
  private async relay(
    admitted: AdmittedRequest,
    segment: StreamSegment,
    progress: StreamProgress,
  ): Promise<SegmentEnd> {
    const state = progress;
    const splitter = new EventSplitter();
    this.parts.migrator.track({ admitted, segment, getOutputTokens: () => state.outputTokens });
    const { endpointId } = segment.placed.backEnd;
    const sound = this.parts.crashes.watchBeginning(admitted);
    try {
      for await (const chunk of segment.response.read()) {
        const events = splitter.push(chunk);
        if (!events) continue;
        this.writeHead(admitted, state);
        state.lastEventId = events.lastEventId ?? state.lastEventId;
        state.events += events.count;
        segment.recordTokens(state.outputTokens);
        sound.observe();
        await admitted.exchange.write(events.bytes);
        segment.markReadStart();
      }
      splitter.checkEnd();
      sound.complete();
      this.parts.placer.recordOutcome(endpointId, 'answered');
      return { end: 'complete' };
    } catch (thrown) {
      const reason = ServingError.from(thrown).detail;
      return { end: 'broken', reason, outputSinceMs: sound.outputSinceMs };
    } finally {
      segment.end();
    }
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
    const stream = { admitted, segment, getOutputTokens: () => progress.outputTokens };
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
    });
    const metrics = this.kernel.get(ServingMetrics);
    if (next) {
      const continued = await this.openNextSegment(admitted, next, progress);
      if (continued) {
        metrics.countContinuation('from-copy');
        return continued;
      }
    }
    if (!next) this.parts.placer.recordOutcome(from, 'failed');
    const resumed = refusal ? undefined : await this.resume(admitted, from, lastEventId);
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
    const { migrator, retries } = this.parts;
    const { work } = stream.admitted;
    if (!migrator.hasBackup(stream.segment)) return undefined;
    return retries.takeFromBudget(work.service) ? migrator.recover(stream) : undefined;
  }

  private async openNextSegment(
    admitted: AdmittedRequest,
    { placed, continueFrom, laterCopy }: NextSegment,
    { lastEventId, outputTokens }: StreamProgress,
  ): Promise<StreamSegment | undefined> {
    const sent = await this.sendTo(admitted, placed, { continueFrom, lastEventId }, outputTokens);
    if (sent instanceof StreamSegment) return this.checkContinued(admitted, sent);
    const later = await laterCopy;
    if (!later || sent.outcome === 'lost') return undefined;
    const again = await this.sendTo(
      admitted,
      placed,
      { continueFrom: later, lastEventId },
      outputTokens,
    );
    return again instanceof StreamSegment ? this.checkContinued(admitted, again) : undefined;
  }

  /** Starts a new run that resumes after the last event, if the route allows it. */
  private async resume(
    admitted: AdmittedRequest,
    from: EndpointId,
    lastEventId: string | undefined,
  ): Promise<StreamSegment | undefined> {
    if (!admitted.route.isResumable || !this.parts.retries.takeRetry(admitted)) return undefined;
    let placed: RequestReservation;
    try {
      placed = this.parts.placer.place(admitted.work, [from], 'retry');
    } catch {
      // The placer has logged the reason; its refusal would deny the run that was lost.
      return undefined;
    }
    const sent = await this.sendTo(admitted, placed, { continueFrom: undefined, lastEventId });
    return sent instanceof StreamSegment ? this.checkContinued(admitted, sent) : undefined;
  }

  private checkContinued(
    { signal }: AdmittedRequest,
    segment: StreamSegment,
  ): StreamSegment | undefined {
    if (isSuccess(segment.head) && !signal.aborted) return segment;
    segment.response.abort();
    segment.end();
    return undefined;
  }
}
