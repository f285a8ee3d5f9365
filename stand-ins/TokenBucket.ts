/**
 * Token bucket rate limiter on the monotonic clock.
 */

const MS_PER_SECOND = 1_000;

/** @internal */
export class TokenBucket {
  private tokens: number;

  private refilledAtMs = performance.now();

  /** @param burst capacity of the bucket, which is full at the start. */
  constructor(
    private ratePerSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  setRate(ratePerSecond: number): void {
    this.refill();
    this.ratePerSecond = ratePerSecond;
  }

  /** Takes the tokens if they are all available. */
  tryAcquire(count: number): boolean {
    this.refill();
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }

  /** Takes the tokens, even ahead of the rate, and returns the time to wait before their use. */
  reserveDelayMs(count: number): number {
    this.refill();
    this.tokens -= count;
    return this.tokens >= 0 ? 0 : (-this.tokens / this.ratePerSecond) * MS_PER_SECOND;
  }

  private refill(): void {
    const nowMs = performance.now();
    const addedTokens = ((nowMs - this.refilledAtMs) / MS_PER_SECOND) * this.ratePerSecond;
    this.tokens = Math.min(this.burst, this.tokens + addedTokens);
    this.refilledAtMs = nowMs;
  }
}
