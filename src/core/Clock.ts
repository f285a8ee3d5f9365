/**
 * The only source of time in the project.
 *
 * Deadlines use monotonic time, which does not jump with the wall clock but is meaningful only on
 * the machine that read it. Wall-clock time is only for logs and display.
 */

/** @public */
export abstract class Clock {
  /** Monotonic milliseconds since an arbitrary start. */
  abstract nowMs(): number;

  /** Wall-clock milliseconds since 1970, for display only. */
  abstract wallMs(): number;

  /**
   * Resolves after `delayMs`, or early when the signal aborts. Never rejects, so that loops can
   * check the signal themselves.
   */
  abstract sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the operating system. @public */
export class SystemClock extends Clock {
  nowMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }

  async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return;
    // Not with a second AbortController: each abort creates an error with a stack trace.
    let stop = (): void => {};
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, delayMs));
      stop = () => {
        clearTimeout(timer);
        resolve();
      };
      signal?.addEventListener('abort', stop);
    });
    signal?.removeEventListener('abort', stop);
  }
}

/** A clock that tests advance manually. @internal */
export class ManualClock extends Clock {
  private currentMs = 1_000_000;

  private suspendedMs = 0;

  private sleepers: ReadonlyArray<{ readonly deadlineMs: number; readonly wake: () => void }> = [];

  nowMs(): number {
    return this.currentMs;
  }

  wallMs(): number {
    return this.currentMs + this.suspendedMs;
  }

  async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted || delayMs <= 0) return;
    const deadlineMs = this.currentMs + delayMs;
    const listening = new AbortController();
    await new Promise<void>((resolve) => {
      this.sleepers = [...this.sleepers, { deadlineMs, wake: resolve }];
      signal?.addEventListener('abort', () => resolve(), { once: true, signal: listening.signal });
    });
    listening.abort();
  }

  /** Advances only the wall clock, as happens while the machine is suspended. */
  suspend(forMs: number): void {
    this.suspendedMs += forMs;
  }

  /** Advances the time and wakes every sleeper whose deadline has passed. */
  advance(byMs: number): void {
    this.currentMs += byMs;
    const due = this.sleepers.filter((sleeper) => sleeper.deadlineMs <= this.currentMs);
    this.sleepers = this.sleepers.filter((sleeper) => sleeper.deadlineMs > this.currentMs);
    due.forEach((sleeper) => sleeper.wake());
  }
}
