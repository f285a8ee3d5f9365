/**
 * A clock whose timers fire only when the test requests it. The time can thus advance before due
 * timers fire, as in a process that is resumed after a pause.
 */
import { Clock } from '../src/core';

export class SimulatedClock extends Clock {
  private timers: ReadonlyArray<{ readonly deadlineMs: number; readonly fire: () => void }> = [];

  constructor(private currentMs: number) {
    super();
  }

  nowMs(): number {
    return this.currentMs;
  }

  wallMs(): number {
    return this.currentMs;
  }

  async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return;
    const deadlineMs = this.currentMs + delayMs;
    await new Promise<void>((resolve) => {
      this.timers = [...this.timers, { deadlineMs, fire: resolve }];
      signal?.addEventListener('abort', () => resolve(), { once: true });
    });
  }

  advance(byMs: number): void {
    this.currentMs += byMs;
  }

  fireTimers(): void {
    const due = this.timers.filter(({ deadlineMs }) => deadlineMs <= this.currentMs);
    this.timers = this.timers.filter(({ deadlineMs }) => deadlineMs > this.currentMs);
    due.forEach(({ fire }) => fire());
  }
}
