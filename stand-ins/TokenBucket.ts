/**
 * A token bucket on the monotonic clock.
 */

const MS_PER_SECOND = 1_000;

/** @internal */
export class TokenBucket {
  private level: number;

  private filledAtMs = performance.now();

  /** @param burst most tokens that collect while nobody takes any. */
  constructor(
    private ratePerSecond: number,
    private readonly burst: number,
  ) {
    this.level = burst;
  }

  setRate(ratePerSecond: number): void {
    this.refill();
    this.ratePerSecond = ratePerSecond;
  }

  /** Takes the tokens if they are there. */
  tryAcquire(count: number): boolean {
    this.refill();
    if (this.level < count) return false;
    this.level -= count;
    return true;
  }

  /** Takes the tokens in advance and tells how long to wait before using them. */
  reserveDelayMs(count: number): number {
    this.refill();
    this.level -= count;
    return this.level >= 0 ? 0 : (-this.level / this.ratePerSecond) * MS_PER_SECOND;
  }

  private refill(): void {
    const nowMs = performance.now();
    const gained = ((nowMs - this.filledAtMs) / MS_PER_SECOND) * this.ratePerSecond;
    this.level = Math.min(this.burst, this.level + gained);
    this.filledAtMs = nowMs;
  }
}
