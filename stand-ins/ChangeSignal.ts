/**
 * Wakes the tasks that wait for a change, like a condition variable with a timeout.
 */

/** @internal */
export class ChangeSignal {
  private waiters: ReadonlyArray<() => void> = [];

  /** Wakes all tasks that are waiting at the moment. */
  notify(): void {
    const { waiters } = this;
    this.waiters = [];
    waiters.forEach((wake) => wake());
  }

  /** Resolves at the next change, after `timeoutMs`, or when the signal aborts. */
  async wait(timeoutMs: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted || timeoutMs <= 0) return;
    const cleanUp = new AbortController();
    await new Promise<void>((resolve) => {
      this.waiters = [...this.waiters, resolve];
      const timer = Number.isFinite(timeoutMs) ? setTimeout(resolve, timeoutMs) : undefined;
      signal.addEventListener('abort', () => resolve(), { signal: cleanUp.signal });
      cleanUp.signal.addEventListener('abort', () => {
        clearTimeout(timer);
        this.waiters = this.waiters.filter((waiter) => waiter !== resolve);
      });
    });
    cleanUp.abort();
  }
}
