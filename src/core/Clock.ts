/**
 * The one source of time.
 *
 * Deadlines are taken from the monotonic reading, which neither jumps with the wall clock nor
 * means anything on another machine. The wall clock is only for logs and for what people read.
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
    const wait = new AbortController();
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, delayMs));
      const stop = (): void => {
        clearTimeout(timer);
        resolve();
      };
      signal?.addEventListener('abort', stop, { once: true, signal: wait.signal });
    });
    wait.abort();
  }
}

/** A clock that tests move by hand. @internal */
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
    const wait = new AbortController();
    await new Promise<void>((resolve) => {
      this.sleepers = [...this.sleepers, { deadlineMs, wake: resolve }];
      signal?.addEventListener('abort', () => resolve(), { once: true, signal: wait.signal });
    });
    wait.abort();
  }

  /** Lets the time of day alone go on, as it does while the machine is suspended. */
  suspend(forMs: number): void {
    this.suspendedMs += forMs;
  }

  /** Moves time forward and wakes every sleeper whose deadline has passed. */
  advance(byMs: number): void {
    this.currentMs += byMs;
    const due = this.sleepers.filter((sleeper) => sleeper.deadlineMs <= this.currentMs);
    this.sleepers = this.sleepers.filter((sleeper) => sleeper.deadlineMs > this.currentMs);
    due.forEach((sleeper) => sleeper.wake());
  }
}
