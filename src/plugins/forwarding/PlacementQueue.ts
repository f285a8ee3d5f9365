/**
 * Queue of requests that wait at this node until an engine has capacity for them.
 *
 * Whenever capacity may have been freed, they are tried again by rank, then in order of arrival.
 */
import type { Clock } from '../../core';

interface Waiter {
  readonly rank: number;
  readonly arrival: number;
  /** Reserves capacity if an engine has any; returns whether it did. */
  readonly tryToPlace: () => boolean;
  readonly wake: () => void;
}

/** @internal */
export class PlacementQueue {
  private waiting: ReadonlyArray<Waiter> = [];

  private arrivals = 0;

  constructor(private readonly clock: Clock) {}

  /**
   * Resolves when the request is placed, at the deadline, or when the signal aborts.
   * @param retryAtMs time before the deadline from which more engines may take it.
   */
  async wait(
    rank: number,
    deadlineMs: number,
    signal: AbortSignal,
    tryToPlace: () => boolean,
    retryAtMs = Infinity,
  ): Promise<void> {
    const placed = new AbortController();
    this.arrivals += 1;
    const waiter: Waiter = {
      rank,
      arrival: this.arrivals,
      tryToPlace,
      wake: () => placed.abort(),
    };
    this.waiting = [...this.waiting, waiter].sort(
      (a, b) => a.rank - b.rank || a.arrival - b.arrival,
    );
    try {
      const ended = AbortSignal.any([signal, placed.signal]);
      if (retryAtMs < deadlineMs) {
        await this.clock.sleep(retryAtMs - this.clock.nowMs(), ended);
        if (!ended.aborted) this.retry(waiter);
      }
      await this.clock.sleep(deadlineMs - this.clock.nowMs(), ended);
    } finally {
      this.waiting = this.waiting.filter((other) => other !== waiter);
    }
  }

  retryAll(): void {
    this.waiting.forEach((waiter) => this.retry(waiter));
  }

  private retry(waiter: Waiter): void {
    if (!waiter.tryToPlace()) return;
    this.waiting = this.waiting.filter((other) => other !== waiter);
    waiter.wake();
  }
}
