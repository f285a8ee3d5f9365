/**
 * Answers that reach their caller as a stream of events while an engine makes them.
 *
 * The stream is made of legs: when an engine leaves or is lost, the same run goes on from copied
 * memory, or a new one after the last event where the route allows it. Only whole events are handed
 * on, and the head of the answer goes out with the first of them.
 */
import { ServingError, type EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import { ServingMetrics, type AnswerHead } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import type { EndpointPlacer, RequestReservation } from './EndpointPlacer';
import { isSuccess, type EndpointSender, type RunContinuation } from './EndpointSender';
import { EventSplitter } from './EventSplitter';
import { FORWARDING_OPTIONS } from './options';
import type { OutputEstimator } from './OutputEstimator';
import type { RetryPolicy } from './RetryPolicy';
import type { RunMigrator } from './RunMigrator';
import { StreamSegment, type NextSegment } from './StreamSegment';

type LegEnd =
  | { readonly end: 'complete'; readonly rest: Uint8Array }
  | { readonly end: 'broken'; readonly reason: string };

/** What has reached the caller of one stream. */
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
}

/** @internal */
export class StreamDelivery {
  constructor(
    private readonly kernel: Kernel,
    private readonly parts: StreamParts,
  ) {}

  async deliver(admitted: AdmittedRequest): Promise<void> {
    const { exchange, work } = admitted;
    const profile = work.configuration.services.get(work.service)?.engine;
    const progress = new StreamProgress(profile?.tokensPerEvent ?? 1);
    let leg = await this.open(admitted, progress);
    while (leg) {
      const ended = await this.relay(admitted, leg, progress);
      if (ended.end === 'complete') {
        void leg.abandonMigration();
        this.writeHead(admitted, progress);
        exchange.end(ended.rest.length > 0 ? ended.rest : undefined);
        this.parts.estimator.observe(work, progress.outputTokens);
        return;
      }
      if (admitted.signal.aborted) void leg.abandonMigration();
      admitted.signal.throwIfAborted();
      leg = await this.goOn(admitted, leg, progress, ended.reason);
    }
  }

  /** Sends the request until an engine answers it; hands on an answer that isn't a stream. */
  private async open(
    admitted: AdmittedRequest,
    progress: StreamProgress,
  ): Promise<StreamSegment | undefined> {
    let excluded: ReadonlyArray<EndpointId> = [];
    for (let isFirst = true; ; isFirst = false) {
      const placed = isFirst
        ? await this.placeFirst(admitted)
        : this.parts.placer.place(admitted.work, excluded, 'retry');
      const sent = await this.sendTo(admitted, placed, undefined);
      if (sent instanceof StreamSegment) return this.begin(admitted, sent, progress);
      admitted.signal.throwIfAborted();
      excluded = [...excluded, placed.backEnd.endpointId];
      const isFree = sent.outcome === 'not-run' && !sent.wasSent;
      const mayRepeat = isFree || sent.outcome === 'not-run' || admitted.route.isResumable;
      if (mayRepeat && (isFree || this.parts.retries.takeRetry(admitted))) continue;
      throw new ServingError(sent.outcome === 'lost' ? 'answer-lost' : 'overloaded', {
        detail: sent.reason,
        clause: admitted.clause,
        retryAfterMs: FORWARDING_OPTIONS.retryAfterMs,
      });
    }
  }

  /** Waits a part of the time for a prompt first event while no engine has room. */
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
    leg: StreamSegment,
    progress: StreamProgress,
  ): Promise<StreamSegment | undefined> {
    const { head } = leg;
    const { exchange } = admitted;
    if (isSuccess(head)) {
      const target = progress;
      target.head = head;
      return leg;
    }
    try {
      const chunks: Uint8Array[] = [];
      for await (const chunk of leg.response.read()) chunks.push(chunk);
      exchange.writeHead(head.status, head.headers);
      exchange.end(Buffer.concat(chunks));
    } finally {
      leg.end();
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
    const copy = this.parts.placer.placeCopy(admitted.work, placed.backEnd, producedTokens);
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
    return sent;
  }

  /** Hands on the events of one engine. */
  private async relay(
    admitted: AdmittedRequest,
    leg: StreamSegment,
    progress: StreamProgress,
  ): Promise<LegEnd> {
    const state = progress;
    const splitter = new EventSplitter();
    this.parts.migrator.track({ admitted, leg, getOutputTokens: () => state.outputTokens });
    const { endpointId } = leg.placed.backEnd;
    try {
      for await (const chunk of leg.response.read()) {
        const whole = splitter.push(chunk);
        if (!whole) continue;
        this.writeHead(admitted, state);
        state.lastEventId = whole.lastEventId ?? state.lastEventId;
        state.events += whole.count;
        leg.recordTokens(state.outputTokens);
        await admitted.exchange.write(whole.bytes);
        leg.markReadStart();
      }
      this.parts.placer.recordOutcome(endpointId, 'answered');
      return { end: 'complete', rest: splitter.rest };
    } catch (thrown) {
      return { end: 'broken', reason: ServingError.from(thrown).detail };
    } finally {
      leg.end();
    }
  }

  private writeHead({ exchange }: AdmittedRequest, { head }: StreamProgress): void {
    if (exchange.hasAnswered || !head) return;
    exchange.writeHead(head.status, head.headers);
  }

  /** Opens the next leg after an engine has given up a run, or fails the request. */
  private async goOn(
    admitted: AdmittedRequest,
    leg: StreamSegment,
    progress: StreamProgress,
    reason: string,
  ): Promise<StreamSegment> {
    const from = leg.placed.backEnd.endpointId;
    const { lastEventId } = progress;
    const stream = { admitted, leg, getOutputTokens: () => progress.outputTokens };
    const next = (await leg.migration) ?? this.parts.migrator.recover(stream);
    this.kernel.log.info('decision', {
      requestId: admitted.request.requestId,
      step: 'retry',
      what: 'stream broken off',
      from,
      reason,
      lastEventId,
      outputTokens: progress.outputTokens,
      outcome: next ? 'goes on from copied memory' : 'no copy',
    });
    const metrics = this.kernel.get(ServingMetrics);
    if (next) {
      const moved = await this.openNext(admitted, next, progress);
      if (moved) {
        metrics.countContinuation('from-copy');
        return moved;
      }
    }
    if (!next) this.parts.placer.recordOutcome(from, 'failed');
    const resumed = await this.resume(admitted, from, lastEventId);
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

  private async openNext(
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

  /** A new run after the last event, where the route allows it. */
  private async resume(
    admitted: AdmittedRequest,
    from: EndpointId,
    lastEventId: string | undefined,
  ): Promise<StreamSegment | undefined> {
    if (!admitted.route.isResumable || !this.parts.retries.takeRetry(admitted)) return undefined;
    const placed = this.parts.placer.place(admitted.work, [from], 'retry');
    const sent = await this.sendTo(admitted, placed, { continueFrom: undefined, lastEventId });
    return sent instanceof StreamSegment ? this.checkContinued(admitted, sent) : undefined;
  }

  private checkContinued(
    { signal }: AdmittedRequest,
    leg: StreamSegment,
  ): StreamSegment | undefined {
    if (isSuccess(leg.head) && !signal.aborted) return leg;
    leg.response.abort();
    leg.end();
    return undefined;
  }
}
