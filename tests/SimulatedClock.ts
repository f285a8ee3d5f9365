/**
 * A clock whose sleepers wake only when the test says so: a paused process sees the time that has
 * passed before its timers fire.
 */
import { Clock } from '../src/core';

export class SimulatedClock extends Clock {
  private sleepers: ReadonlyArray<{ readonly deadlineMs: number; readonly wake: () => void }> = [];

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
      this.sleepers = [...this.sleepers, { deadlineMs, wake: resolve }];
      signal?.addEventListener('abort', () => resolve(), { once: true });
    });
  }

  advance(byMs: number): void {
    this.currentMs += byMs;
  }

  fireTimers(): void {
    const due = this.sleepers.filter(({ deadlineMs }) => deadlineMs <= this.currentMs);
    this.sleepers = this.sleepers.filter(({ deadlineMs }) => deadlineMs > this.currentMs);
    due.forEach(({ wake }) => wake());
  }
}
