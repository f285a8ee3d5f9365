/**
 * Queue of the generations that wait at this node for room on the engines of services with fair
 * shares.
 *
 * Each one waits until the last time at which a start is of use to its caller. It is refused before
 * that if no room is expected by then, or if the queue exceeds its bounds and it is last in order.
 */
import type { Clock, ServingError } from '../../core';
import {
  listOverflow,
  NONE_AHEAD,
  orderWaiting,
  type FairShares,
  type OrderReason,
  type RequestsAhead,
  type WaitingRequest,
  type WaitVerdict,
} from '../../decisions';
import { FORWARDING_OPTIONS } from './options';

/** Why a wait ended without a place. @internal */
export type RefusedEnd = 'no room expected' | 'expired' | 'queue full';

/** `reserved for others`: there may be room, but other work needs it first. @internal */
export type PlacementTry = 'placed' | 'no room' | 'reserved for others';

/** A generation that waits, and how it is placed. @internal */
export abstract class QueuedGeneration {
  abstract readonly request: WaitingRequest;

  /** The same for requests of one service that may use the same engines. */
  abstract readonly roomKey: string;

  /** Returns why it must not be sent to any engine. */
  abstract findRefusal(): ServingError | undefined;

  /** Whether it may now be placed in the queue of an engine that has no room for it. */
  abstract mayQueueAtEngine(reason: OrderReason): boolean;

  /** Reserves room at an engine if there is any for it. */
  abstract tryToPlace(reason: OrderReason): PlacementTry;

  /** Forecasts its wait if only the requests that wait at this node are ahead of it. */
  abstract forecastWaitMs(ahead: RequestsAhead): number;

  /** Decides whether it still has a chance. */
  abstract judgeWait(ahead: RequestsAhead): WaitVerdict;

  /** Called once, when there was no room for it at its arrival. */
  abstract recordWaiting(ahead: RequestsAhead, reason: OrderReason): void;

  /** Creates the error for its caller. */
  abstract createRefusal(end: RefusedEnd, verdict: WaitVerdict, ahead: RequestsAhead): ServingError;
}

interface Waiter {
  readonly queued: QueuedGeneration;
  readonly ended: AbortController;
  /** Set when the wait ends without a place. */
  error: unknown;
}

interface OrderedWaiter {
  readonly waiter: Waiter;
  readonly reason: OrderReason;
  /** Waiters ahead of it that may use the same engines. */
  readonly ahead: RequestsAhead;
}

/** @internal */
export class FairQueue {
  private waiting: ReadonlyArray<Waiter> = [];

  private placedUpAtMs = -Infinity;

  private judgedAtMs = -Infinity;

  private isRetryDue = false;

  constructor(
    private readonly clock: Clock,
    private readonly shares: FairShares,
  ) {}

  list(): ReadonlyArray<WaitingRequest> {
    return this.waiting.map(({ queued }) => queued.request);
  }

  /**
   * Resolves when the request is placed, or when the signal aborts.
   * @throws ServingError if it is refused.
   */
  async wait(queued: QueuedGeneration, signal: AbortSignal): Promise<void> {
    const waiter: Waiter = { queued, ended: new AbortController(), error: undefined };
    const { usefulUntilMs } = queued.request;
    this.waiting = [...this.waiting, waiter];
    this.placeAll();
    const place = this.order().find((ordered) => ordered.waiter === waiter);
    if (place) queued.recordWaiting(place.ahead, place.reason);
    const ended = AbortSignal.any([signal, waiter.ended.signal]);
    try {
      while (!ended.aborted) {
        const leftMs = usefulUntilMs - this.clock.nowMs();
        await this.clock.sleep(Math.min(FORWARDING_OPTIONS.queueCheckIntervalMs, leftMs), ended);
        if (!ended.aborted) this.check(waiter);
      }
    } finally {
      this.remove(waiter);
    }
    if (waiter.error !== undefined) throw waiter.error as Error;
  }

  /** Looks for room again soon; calls in close succession share one pass. */
  retryAll(): void {
    if (this.waiting.length === 0 || this.isRetryDue) return;
    const dueMs = this.placedUpAtMs + FORWARDING_OPTIONS.queueRetryIntervalMs;
    if (this.clock.nowMs() >= dueMs) this.placeAll();
    else void this.retryAt(dueMs);
  }

  private async retryAt(dueMs: number): Promise<void> {
    this.isRetryDue = true;
    await this.clock.sleep(dueMs - this.clock.nowMs());
    this.isRetryDue = false;
    this.placeAll();
  }

  /** Places what fits now, in order; after each one the order follows from the new use. */
  private placeAll(): void {
    this.placedUpAtMs = this.clock.nowMs();
    while (this.placeNext());
    this.refuseWithoutChance();
    this.refuseOverflow();
  }

  /** Ends a wait that must not go on; otherwise looks for room again, as time has passed. */
  private check(waiter: Waiter): void {
    const nowMs = this.clock.nowMs();
    const refusal = waiter.queued.findRefusal();
    if (refusal) {
      this.end(waiter, refusal);
      return;
    }
    if (nowMs - this.placedUpAtMs >= FORWARDING_OPTIONS.queueCheckIntervalMs) this.placeAll();
    if (waiter.ended.signal.aborted || nowMs < waiter.queued.request.usefulUntilMs) return;
    const expectedWaitMs = waiter.queued.forecastWaitMs(NONE_AHEAD);
    const reason = 'the last time at which a start is of use to the caller has passed';
    this.refuse(waiter, 'expired', { outcome: 'refuse', expectedWaitMs, reason }, NONE_AHEAD);
  }

  /** Returns whether a request was placed, or ended because it can't be. */
  private placeNext(): boolean {
    const tooLarge = new Map<string, number>();
    return this.order().some(({ waiter, reason }) => {
      const { request, roomKey } = waiter.queued;
      const isTooLarge = request.needTokens >= (tooLarge.get(roomKey) ?? Infinity);
      if (isTooLarge && !waiter.queued.mayQueueAtEngine(reason)) return false;
      const outcome = this.tryToPlace(waiter, reason);
      if (outcome === 'no room') tooLarge.set(roomKey, request.needTokens);
      return outcome === 'ended';
    });
  }

  private tryToPlace(waiter: Waiter, reason: OrderReason): 'ended' | PlacementTry {
    try {
      const outcome = waiter.queued.tryToPlace(reason);
      if (outcome !== 'placed') return outcome;
      this.end(waiter, undefined);
    } catch (thrown) {
      this.end(waiter, thrown);
    }
    return 'ended';
  }

  private refuseWithoutChance(): void {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.judgedAtMs < FORWARDING_OPTIONS.queueCheckIntervalMs) return;
    this.judgedAtMs = nowMs;
    this.order().forEach(({ waiter, ahead }) => {
      const verdict = waiter.queued.judgeWait(ahead);
      if (verdict.outcome === 'refuse') this.refuse(waiter, 'no room expected', verdict, ahead);
    });
  }

  private refuseOverflow(): void {
    const ordered = this.order();
    const overflow = new Set(
      listOverflow(
        ordered.map(({ waiter, reason }) => ({ request: waiter.queued.request, reason })),
      ),
    );
    ordered
      .filter(({ waiter }) => overflow.has(waiter.queued.request))
      .forEach(({ waiter, ahead }) => {
        const expectedWaitMs = waiter.queued.forecastWaitMs(ahead);
        const reason = 'the queue of this node is full, and the request is last in its order';
        this.refuse(waiter, 'queue full', { outcome: 'refuse', expectedWaitMs, reason }, ahead);
      });
  }

  private order(): ReadonlyArray<OrderedWaiter> {
    const byRequest = new Map(this.waiting.map((waiter) => [waiter.queued.request, waiter]));
    const counts = new Map<string, RequestsAhead>();
    return orderWaiting([...byRequest.keys()], this.shares, this.clock.nowMs()).flatMap(
      ({ request, reason }) => {
        const waiter = byRequest.get(request);
        if (!waiter) return [];
        const { roomKey } = waiter.queued;
        const ahead = counts.get(roomKey) ?? NONE_AHEAD;
        counts.set(roomKey, {
          requests: ahead.requests + 1,
          needTokens: ahead.needTokens + request.needTokens,
        });
        return [{ waiter, reason, ahead }];
      },
    );
  }

  private refuse(
    waiter: Waiter,
    end: RefusedEnd,
    verdict: WaitVerdict,
    ahead: RequestsAhead,
  ): void {
    this.end(waiter, waiter.queued.createRefusal(end, verdict, ahead));
  }

  private end(waiter: Waiter, error: unknown): void {
    const ended = waiter;
    ended.error = error;
    this.remove(waiter);
    waiter.ended.abort();
  }

  private remove(waiter: Waiter): void {
    this.waiting = this.waiting.filter((other) => other !== waiter);
  }
}
