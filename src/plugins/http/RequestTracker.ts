/**
 * Counts running requests, so that a drain can wait until all of them have ended.
 */

/** @internal */
export class RequestTracker {
  private running = 0;

  private idleWaiters: ReadonlyArray<() => void> = [];

  get count(): number {
    return this.running;
  }

  begin(): void {
    this.running += 1;
  }

  end(): void {
    this.running -= 1;
    if (this.running > 0) return;
    const waiters = this.idleWaiters;
    this.idleWaiters = [];
    waiters.forEach((resolve) => resolve());
  }

  /** Resolves when no request is running. */
  async waitUntilIdle(): Promise<void> {
    if (this.running === 0) return;
    await new Promise<void>((resolve) => {
      this.idleWaiters = [...this.idleWaiters, resolve];
    });
  }
}
