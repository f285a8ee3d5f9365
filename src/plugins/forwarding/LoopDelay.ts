/**
 * Tells whether the event loop was held up lately, so that more may have arrived on a connection than
 * was read of it.
 */
import type { Clock } from '../../core';

const LOOP_DELAY_OPTIONS = {
  intervalMs: 100,
  /** Delay from which on callers may have left meanwhile; those that leave wait longer at least. */
  minDelayMs: 200,
} as const;

/** @internal */
export class LoopDelay {
  private dueMs: number;

  private delayedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {
    this.dueMs = clock.nowMs() + LOOP_DELAY_OPTIONS.intervalMs;
  }

  async watch(signal: AbortSignal): Promise<void> {
    const { intervalMs } = LOOP_DELAY_OPTIONS;
    while (!signal.aborted) {
      this.dueMs = this.clock.nowMs() + intervalMs;
      await this.clock.sleep(intervalMs, signal);
      if (this.isOverdue()) this.delayedAtMs = this.clock.nowMs();
    }
  }

  wasDelayed(): boolean {
    const sinceMs = this.clock.nowMs() - this.delayedAtMs;
    return sinceMs <= LOOP_DELAY_OPTIONS.intervalMs || this.isOverdue();
  }

  private isOverdue(): boolean {
    return this.clock.nowMs() - this.dueMs >= LOOP_DELAY_OPTIONS.minDelayMs;
  }
}
