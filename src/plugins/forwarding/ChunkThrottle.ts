/**
 * Bounds the time that the parser spends on bodies in very short chunks. Each of these chunks costs a
 * call, whatever its size, so a few such bodies would keep the process from everything else.
 */
import { FORWARDING_OPTIONS } from './options';

/** @internal */
export class ChunkThrottle {
  private spent = 0;

  private periodEndMs = 0;

  private isScheduled = false;

  /** Connections that go on in the next periods, in turn. */
  private readonly waiting: Array<() => void> = [];

  /** Counts short chunks; returns false if the connection has to wait for a later period. */
  spend(chunks: number): boolean {
    if (chunks === 0) return true;
    const nowMs = performance.now();
    if (nowMs >= this.periodEndMs && this.waiting.length === 0) this.startPeriod(nowMs);
    this.spent += chunks;
    return this.waiting.length === 0 && this.spent < FORWARDING_OPTIONS.shortChunksPerPeriod;
  }

  /** @param resume called once in a later period. */
  wait(resume: () => void): void {
    this.waiting.push(resume);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setTimeout(() => this.resumeSome(), FORWARDING_OPTIONS.shortChunkPeriodMs).unref();
  }

  private resumeSome(): void {
    this.startPeriod(performance.now());
    // Those that have to wait again are added at the end.
    while (this.waiting.length > 0 && this.spent < FORWARDING_OPTIONS.shortChunksPerPeriod) {
      this.waiting.shift()?.();
    }
    this.isScheduled = false;
    if (this.waiting.length > 0) this.schedule();
  }

  private startPeriod(nowMs: number): void {
    this.spent = 0;
    this.periodEndMs = nowMs + FORWARDING_OPTIONS.shortChunkPeriodMs;
  }
}
