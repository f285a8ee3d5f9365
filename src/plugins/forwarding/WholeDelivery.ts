/**
 * Delivers responses of plain services.
 *
 * A small response is buffered until it is complete, so that a repeatable request can still be
 * retried when its response breaks off.
 */
import { ServingError, type EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import type { AnswerHead, KnownBackEnd } from '../../services';
import { ChunkList } from '../../wire';
import type { AdmittedRequest } from './AdmittedRequest';
import type { SendableBody } from './CallerBody';
import { createBodyGoneError } from './createBodyGoneError';
import type { CrashReporter } from './CrashReporter';
import type { EndpointPlacer, RequestReservation } from './EndpointPlacer';
import type { EndpointSender, SendOutcome } from './EndpointSender';
import { FORWARDING_OPTIONS } from './options';
import { QuarantineGuard } from './QuarantineGuard';
import { readFromProcess } from './readFromProcess';
import { RequestDelivery } from './RequestDelivery';
import type { RetryPolicy } from './RetryPolicy';

type AttemptResult =
  | { readonly result: 'complete'; readonly head: AnswerHead; readonly bytes: Uint8Array }
  /** Too large to be buffered; `rest` has not been read yet. */
  | {
      readonly result: 'large';
      readonly head: AnswerHead;
      readonly first: Uint8Array;
      readonly rest: AsyncGenerator<Uint8Array>;
    }
  | { readonly result: 'not-run'; readonly reason: string; readonly wasSent: boolean }
  | { readonly result: 'lost'; readonly reason: string };

interface RunningAttempt {
  readonly completion: Promise<AttemptResult>;
  /** Aborts when the attempt ends. */
  readonly settled: AbortSignal;
  readonly cancel: () => void;
}

const MIN_SERVER_ERROR_STATUS = 500;

function isFailure({ status }: AnswerHead): boolean {
  return status >= MIN_SERVER_ERROR_STATUS;
}

function isGood(attempt: AttemptResult): boolean {
  return attempt.result === 'large' || (attempt.result === 'complete' && !isFailure(attempt.head));
}

/** @internal */
export class WholeDelivery extends RequestDelivery {
  private readonly guard: QuarantineGuard;

  constructor(
    private readonly kernel: Kernel,
    private readonly placer: EndpointPlacer,
    private readonly sender: EndpointSender,
    private readonly retries: RetryPolicy,
    private readonly crashes: CrashReporter,
  ) {
    super();
    this.guard = new QuarantineGuard(kernel);
  }

  override async deliver(admitted: AdmittedRequest): Promise<void> {
    let excluded: ReadonlyArray<EndpointId> = [];
    let best: AttemptResult | undefined;
    for (let isFirst = true; ; isFirst = false) {
      const attempt = await this.attemptWithHedge(admitted, excluded, isFirst, best);
      // No endpoint is left to try; the best of the earlier attempts is used.
      if (!attempt) break;
      if (isGood(attempt)) {
        await this.writeResult(admitted, attempt);
        return;
      }
      admitted.signal.throwIfAborted();
      excluded = [...excluded, ...admitted.attempts.map(({ endpointId }) => endpointId)];
      best = attempt.result === 'not-run' && best ? best : attempt;
      const isUnsent = attempt.result === 'not-run' && !attempt.wasSent;
      const mayRetry = isUnsent || attempt.result === 'not-run' || admitted.route.isRepeatable;
      if (this.guard.findRefusal(admitted)) break;
      // The next endpoint couldn't be reached either.
      if (isUnsent && !this.sender.reaches(admitted)) break;
      if (!mayRetry || (!isUnsent && !this.retries.takeRetry(admitted))) break;
    }
    await this.writeResult(admitted, best);
  }

  /**
   * Sends the request to one endpoint, and hedges with a second one if a repeatable request takes
   * unusually long. Returns undefined if no endpoint is left but an earlier attempt has a result.
   */
  private async attemptWithHedge(
    admitted: AdmittedRequest,
    excluded: ReadonlyArray<EndpointId>,
    isFirst: boolean,
    best: AttemptResult | undefined,
  ): Promise<AttemptResult | undefined> {
    const step = isFirst ? 'route' : 'retry';
    const first = this.startAttempt(admitted, excluded, step);
    try {
      if (!admitted.route.isRepeatable) return await first.completion;
      const early = await Promise.race([first.completion, this.waitForHedge(admitted, first)]);
      const mayHedge = !early && !this.guard.findRefusal(admitted);
      if (!mayHedge || !this.retries.takeRetry(admitted)) return await first.completion;
      const second = this.startAttempt(admitted, [...excluded, ...admitted.sentTo], 'retry');
      return await this.waitForFirstGood([first, second]);
    } catch (thrown) {
      if (!best) throw thrown;
      return undefined;
    }
  }

  /** Resolves without a value when it is time to start a second attempt. */
  private async waitForHedge(admitted: AdmittedRequest, first: RunningAttempt): Promise<undefined> {
    const hedgeDelayMs = admitted.route.latencyGoalMs * FORWARDING_OPTIONS.hedgeDelayShare;
    await this.kernel.clock.sleep(hedgeDelayMs, first.settled);
  }

  private startAttempt(
    admitted: AdmittedRequest,
    excluded: ReadonlyArray<EndpointId>,
    step: 'route' | 'retry',
  ): RunningAttempt {
    const cancelled = new AbortController();
    const settled = new AbortController();
    const completion = this.attempt(admitted, excluded, step, cancelled.signal);
    const settle = (): void => settled.abort();
    completion.then(settle, settle);
    return { completion, settled: settled.signal, cancel: () => cancelled.abort() };
  }

  /** Returns the first good attempt and cancels the other one. */
  private async waitForFirstGood(attempts: ReadonlyArray<RunningAttempt>): Promise<AttemptResult> {
    const good = attempts.map(async (running) => {
      const attempt = await running.completion;
      if (!isGood(attempt)) throw new Error('The attempt failed.');
      return { running, attempt };
    });
    try {
      const winner = await Promise.any(good);
      attempts.filter((running) => running !== winner.running).forEach(({ cancel }) => cancel());
      return winner.attempt;
    } catch {
      const settled = await Promise.allSettled(attempts.map(async ({ completion }) => completion));
      const failed = settled.flatMap((each) => (each.status === 'fulfilled' ? each.value : []));
      // Only if neither may have run, the request has not run. A hedge that finds no endpoint says
      // nothing of the first attempt.
      const decisive = failed.find(({ result }) => result !== 'not-run') ?? failed[0];
      if (decisive) return decisive;
      throw settled.find((each) => each.status === 'rejected')?.reason;
    }
  }

  /** @throws ServingError when the request can't be placed or sent. */
  private async attempt(
    admitted: AdmittedRequest,
    excluded: ReadonlyArray<EndpointId>,
    step: 'route' | 'retry',
    cancelled: AbortSignal,
  ): Promise<AttemptResult> {
    const body = admitted.body.take();
    if (!body) throw createBodyGoneError(admitted.clause);
    try {
      const placed = this.placer.place(admitted.work, excluded, step);
      return await this.runAttempt(admitted, body, placed, cancelled);
    } finally {
      body.release();
    }
  }

  private async runAttempt(
    admitted: AdmittedRequest,
    body: SendableBody,
    placed: RequestReservation,
    cancelled: AbortSignal,
  ): Promise<AttemptResult> {
    const target = admitted;
    const { endpointId } = placed.backEnd;
    target.sentTo = [...admitted.sentTo, endpointId];
    try {
      const signal = AbortSignal.any([admitted.signal, cancelled]);
      const { clock } = this.kernel;
      const sentAtMs = clock.nowMs();
      const sent = await this.sender.send(admitted, body, placed.backEnd, signal, {
        markWriting: placed.markWriting,
      });
      // The time until the cancellation is a lower bound of the time that the call takes.
      if (cancelled.aborted) this.placer.recordCallTime(endpointId, clock.nowMs() - sentAtMs);
      if (sent.outcome === 'not-run') {
        if (!sent.wasSent) target.sentTo = admitted.sentTo.filter((id) => id !== endpointId);
        return { result: 'not-run', reason: sent.reason, wasSent: sent.wasSent };
      }
      if (sent.outcome === 'lost') {
        if (!signal.aborted) await this.reportLoss(admitted, placed.backEnd, false);
        return { result: 'lost', reason: sent.reason };
      }
      const attempt = await this.readResponse(admitted, placed.backEnd, sent);
      if (attempt.result === 'lost' && !signal.aborted) {
        await this.reportLoss(admitted, placed.backEnd, true);
      }
      // An endpoint that answers with a failure has not crashed either.
      if (attempt.result === 'complete') {
        placed.markComplete();
        this.crashes.recordSound(admitted, sentAtMs);
      }
      if (attempt.result === 'complete' && isGood(attempt)) {
        this.placer.recordCallTime(endpointId, clock.nowMs() - sentAtMs);
      }
      if (!signal.aborted) {
        this.placer.recordOutcome(endpointId, isGood(attempt) ? 'answered' : 'failed');
      }
      return attempt;
    } finally {
      placed.release();
    }
  }

  /** Only a call that may be sent again has to wait for the probe of its endpoint. */
  private async reportLoss(
    admitted: AdmittedRequest,
    backEnd: KnownBackEnd,
    hadHead: boolean,
  ): Promise<void> {
    const report = async (): Promise<void> =>
      this.crashes.reportLoss(admitted, backEnd, { hadHead, outputSinceMs: undefined });
    if (admitted.route.isRepeatable) await report();
    else this.kernel.runTask('report crash', report);
  }

  /** An answer for which there is no memory is passed on while it is read. */
  private async readResponse(
    { exchange }: AdmittedRequest,
    backEnd: KnownBackEnd,
    { head, answer }: Extract<SendOutcome, { readonly outcome: 'answered' }>,
  ): Promise<AttemptResult> {
    const buffer = new ChunkList();
    const source = readFromProcess(this.kernel, backEnd, answer);
    try {
      for (let next = await source.next(); !next.done; next = await source.next()) {
        buffer.append(next.value);
        const isHeld = exchange.hold(next.value.length);
        if (!isHeld || buffer.length > FORWARDING_OPTIONS.maxBufferedResponseBytes) {
          return { result: 'large', head, first: buffer.read(), rest: source };
        }
      }
    } catch (thrown) {
      return { result: 'lost', reason: ServingError.from(thrown).detail };
    }
    return { result: 'complete', head, bytes: buffer.read() };
  }

  private async writeResult(
    admitted: AdmittedRequest,
    attempt: AttemptResult | undefined,
  ): Promise<void> {
    const { exchange, clause, signal } = admitted;
    if (attempt?.result === 'complete') {
      exchange.writeHead(attempt.head.status, attempt.head.headers);
      exchange.end(attempt.bytes);
      return;
    }
    if (attempt?.result === 'large') {
      exchange.writeHead(attempt.head.status, attempt.head.headers);
      await exchange.write(attempt.first, signal);
      for await (const chunk of attempt.rest) await exchange.write(chunk, signal);
      exchange.end();
      return;
    }
    if (attempt?.result === 'lost') {
      throw new ServingError('answer-lost', { detail: attempt.reason, clause });
    }
    throw new ServingError('overloaded', {
      detail: attempt?.reason ?? 'No endpoint accepted the request.',
      clause,
      retryAfterMs: FORWARDING_OPTIONS.retryAfterMs,
    });
  }
}
