/**
 * Wakes waiting tasks when something changes.
 */

/** @internal */
export class ChangeSignal {
  private waiters: ReadonlyArray<() => void> = [];

  /** Wakes everyone who waits now. */
  notify(): void {
    const { waiters } = this;
    this.waiters = [];
    waiters.forEach((wake) => wake());
  }

  /** Resolves at the next change, after `limitMs`, or when the signal aborts. */
  async wait(limitMs: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted || limitMs <= 0) return;
    const cleanUp = new AbortController();
    await new Promise<void>((resolve) => {
      this.waiters = [...this.waiters, resolve];
      const timer = Number.isFinite(limitMs) ? setTimeout(resolve, limitMs) : undefined;
      signal.addEventListener('abort', () => resolve(), { signal: cleanUp.signal });
      cleanUp.signal.addEventListener('abort', () => {
        clearTimeout(timer);
        this.waiters = this.waiters.filter((waiter) => waiter !== resolve);
      });
    });
    cleanUp.abort();
  }
}
