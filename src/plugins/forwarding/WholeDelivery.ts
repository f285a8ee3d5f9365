/**
 * Answers that reach their caller as a whole: calls of plain services.
 *
 * A small answer is held until it is complete, so that one that breaks off can still be replaced
 * where the request may be repeated.
 */
import { ServingError, type EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import type { AnswerHead } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import type { EndpointResponse } from './EndpointResponse';
import type { EndpointPlacer } from './EndpointPlacer';
import type { EndpointSender } from './EndpointSender';
import { FORWARDING_OPTIONS } from './options';
import type { RetryPolicy } from './RetryPolicy';

type TryResult =
  | { readonly result: 'complete'; readonly head: AnswerHead; readonly bytes: Uint8Array }
  /** Too large to be held; the rest is still to be read. */
  | {
      readonly result: 'large';
      readonly head: AnswerHead;
      readonly first: Uint8Array;
      readonly rest: AsyncGenerator<Uint8Array>;
    }
  | { readonly result: 'not-run'; readonly reason: string; readonly wasSent: boolean }
  | { readonly result: 'lost'; readonly reason: string };

interface RunningTry {
  readonly tried: Promise<TryResult>;
  /** Aborted when the try has ended. */
  readonly settled: AbortSignal;
  readonly cancel: () => void;
}

const SERVER_ERROR = 500;

function isFailure({ status }: AnswerHead): boolean {
  return status >= SERVER_ERROR;
}

function isGood(tried: TryResult): boolean {
  return tried.result === 'large' || (tried.result === 'complete' && !isFailure(tried.head));
}

/** @internal */
export class WholeDelivery {
  constructor(
    private readonly kernel: Kernel,
    private readonly placer: EndpointPlacer,
    private readonly sender: EndpointSender,
    private readonly repeats: RetryPolicy,
  ) {}

  async deliver(admitted: AdmittedRequest): Promise<void> {
    let excluded: ReadonlyArray<EndpointId> = [];
    let best: TryResult | undefined;
    for (let isFirst = true; ; isFirst = false) {
      const tried = await this.tryOnce(admitted, excluded, isFirst, best);
      // No endpoint is left to try; the best of the earlier results has to do.
      if (!tried) break;
      if (isGood(tried)) {
        await this.handOn(admitted, tried);
        return;
      }
      admitted.signal.throwIfAborted();
      excluded = [...excluded, ...admitted.attempts.map(({ endpointId }) => endpointId)];
      best = tried.result === 'not-run' && best ? best : tried;
      const isFree = tried.result === 'not-run' && !tried.wasSent;
      const mayRepeat = isFree || tried.result === 'not-run' || admitted.route.isRepeatable;
      if (!mayRepeat || (!isFree && !this.repeats.takeRetry(admitted))) break;
    }
    await this.handOn(admitted, best);
  }

  /**
   * Sends to one endpoint, and to a second one when a repeatable request takes unusually long.
   * Undefined when there is a result and no further endpoint to send to.
   */
  private async tryOnce(
    admitted: AdmittedRequest,
    excluded: ReadonlyArray<EndpointId>,
    isFirst: boolean,
    best: TryResult | undefined,
  ): Promise<TryResult | undefined> {
    const step = isFirst ? 'route' : 'retry';
    const first = this.startTry(admitted, excluded, step);
    try {
      if (!admitted.route.isRepeatable) return await first.tried;
      const early = await Promise.race([first.tried, this.waitForHedge(admitted, first)]);
      if (early || !this.repeats.takeRetry(admitted)) return await first.tried;
      const second = this.startTry(admitted, [...excluded, ...admitted.sentTo], 'retry');
      return await this.takeFirstGood([first, second]);
    } catch (thrown) {
      if (!best) throw thrown;
      return undefined;
    }
  }

  /** Resolves without a value when the try has taken long enough to start a second one. */
  private async waitForHedge(admitted: AdmittedRequest, first: RunningTry): Promise<undefined> {
    const hedgeAfterMs = admitted.route.latencyGoalMs * FORWARDING_OPTIONS.hedgeDelayShare;
    await this.kernel.clock.sleep(hedgeAfterMs, first.settled);
  }

  private startTry(
    admitted: AdmittedRequest,
    excluded: ReadonlyArray<EndpointId>,
    step: 'route' | 'retry',
  ): RunningTry {
    const cancelled = new AbortController();
    const settled = new AbortController();
    const tried = this.sendOnce(admitted, excluded, step, cancelled.signal);
    const settle = (): void => settled.abort();
    tried.then(settle, settle);
    return { tried, settled: settled.signal, cancel: () => cancelled.abort() };
  }

  /** The first good result, whose try goes on; the other one is stopped. */
  private async takeFirstGood(tries: ReadonlyArray<RunningTry>): Promise<TryResult> {
    const good = tries.map(async (running) => {
      const tried = await running.tried;
      if (!isGood(tried)) throw new Error('not good');
      return { running, tried };
    });
    try {
      const winner = await Promise.any(good);
      tries.filter((running) => running !== winner.running).forEach(({ cancel }) => cancel());
      return winner.tried;
    } catch {
      const [first] = tries as readonly [RunningTry];
      return first.tried;
    }
  }

  private async sendOnce(
    admitted: AdmittedRequest,
    excluded: ReadonlyArray<EndpointId>,
    step: 'route' | 'retry',
    cancelled: AbortSignal,
  ): Promise<TryResult> {
    const target = admitted;
    const placed = this.placer.place(admitted.work, excluded, step);
    const { endpointId } = placed.backEnd;
    target.sentTo = [...admitted.sentTo, endpointId];
    try {
      const signal = AbortSignal.any([admitted.signal, cancelled]);
      const { clock } = this.kernel;
      const sentAtMs = clock.nowMs();
      const sent = await this.sender.send(admitted, placed.backEnd, signal);
      // A try that another one overtook took at least so long.
      if (cancelled.aborted) this.placer.recordCallTime(endpointId, clock.nowMs() - sentAtMs);
      if (sent.outcome === 'not-run') {
        if (!sent.wasSent) target.sentTo = admitted.sentTo.filter((id) => id !== endpointId);
        return { result: 'not-run', reason: sent.reason, wasSent: sent.wasSent };
      }
      if (sent.outcome === 'lost') return { result: 'lost', reason: sent.reason };
      const tried = await this.readAnswer(sent.head, sent.answer);
      if (tried.result === 'complete' && isGood(tried)) {
        this.placer.recordCallTime(endpointId, clock.nowMs() - sentAtMs);
      }
      if (!signal.aborted) {
        this.placer.recordOutcome(endpointId, isGood(tried) ? 'answered' : 'failed');
      }
      return tried;
    } finally {
      placed.release();
    }
  }

  private async readAnswer(head: AnswerHead, answer: EndpointResponse): Promise<TryResult> {
    const chunks: Uint8Array[] = [];
    let size = 0;
    const source = answer.read();
    try {
      for (let next = await source.next(); !next.done; next = await source.next()) {
        chunks.push(next.value);
        size += next.value.length;
        if (size > FORWARDING_OPTIONS.maxBufferedResponseBytes) {
          return { result: 'large', head, first: Buffer.concat(chunks), rest: source };
        }
      }
    } catch (thrown) {
      return { result: 'lost', reason: ServingError.from(thrown).detail };
    }
    return { result: 'complete', head, bytes: Buffer.concat(chunks) };
  }

  private async handOn(admitted: AdmittedRequest, tried: TryResult | undefined): Promise<void> {
    const { exchange, clause } = admitted;
    if (tried?.result === 'complete') {
      exchange.writeHead(tried.head.status, tried.head.headers);
      exchange.end(tried.bytes);
      return;
    }
    if (tried?.result === 'large') {
      exchange.writeHead(tried.head.status, tried.head.headers);
      await exchange.write(tried.first);
      for await (const chunk of tried.rest) await exchange.write(chunk);
      exchange.end();
      return;
    }
    if (tried?.result === 'lost') {
      throw new ServingError('answer-lost', { detail: tried.reason, clause });
    }
    throw new ServingError('overloaded', {
      detail: tried?.reason ?? 'No endpoint took the request.',
      clause,
      retryAfterMs: FORWARDING_OPTIONS.retryAfterMs,
    });
  }
}
