/**
 * Writes log lines to an output without ever blocking the process.
 *
 * Lines are rate-limited, and dropped while the reader of the output does not keep up. Dropped
 * lines are counted by event and reported before the next written line. Lines about requests that
 * failed, were refused, retried or continued have an additional limit, so that they are dropped
 * last.
 */
import type { Writable } from 'node:stream';
import type { Clock } from '../core';
import { LOG_OPTIONS } from './options';

/** A log line, with the properties that decide whether it is written. @internal */
export interface BoundedLine {
  /** Called only when the line is written. */
  readonly format: () => string;
  readonly event: string;
  /** Whether the line is needed to diagnose a failure. */
  readonly isImportant: boolean;
}

/** A token bucket in which each line takes one token. */
class TokenBucket {
  private tokens: number;

  private refilledAtMs: number;

  constructor(
    private readonly perSecond: number,
    private readonly clock: Clock,
  ) {
    this.tokens = perSecond * LOG_OPTIONS.burstSeconds;
    this.refilledAtMs = clock.nowMs();
  }

  tryConsume(): boolean {
    const nowMs = this.clock.nowMs();
    const refill = ((nowMs - this.refilledAtMs) * this.perSecond) / LOG_OPTIONS.msPerSecond;
    this.tokens = Math.min(this.perSecond * LOG_OPTIONS.burstSeconds, this.tokens + refill);
    this.refilledAtMs = nowMs;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/** @internal */
export class BoundedWriter {
  private readonly ordinary: TokenBucket;

  private readonly important: TokenBucket;

  private readonly droppedCounts = new Map<string, number>();

  constructor(
    private readonly output: Pick<Writable, 'write' | 'writableLength'>,
    clock: Clock,
  ) {
    this.ordinary = new TokenBucket(LOG_OPTIONS.ordinaryLinesPerSecond, clock);
    this.important = new TokenBucket(LOG_OPTIONS.importantLinesPerSecond, clock);
  }

  write({ format, event, isImportant }: BoundedLine): void {
    const isReaderBehind = this.output.writableLength > LOG_OPTIONS.maxUnwrittenBytes;
    const isAllowed = this.ordinary.tryConsume() || (isImportant && this.important.tryConsume());
    if (isReaderBehind || !isAllowed) {
      this.droppedCounts.set(event, (this.droppedCounts.get(event) ?? 0) + 1);
      return;
    }
    if (this.droppedCounts.size > 0) {
      const counts = Object.fromEntries(this.droppedCounts);
      this.droppedCounts.clear();
      this.output.write(`${JSON.stringify({ level: 'warn', event: 'lines left out', counts })}\n`);
    }
    this.output.write(format());
  }
}
