/**
 * Writes log lines without ever holding up the process.
 *
 * Lines are bounded in number a second; a reader that stops reading costs lines, not time. What was
 * left out is counted by event and told when there is room again. Lines about requests that failed,
 * were refused, repeated or continued have a bound of their own, so that they are kept longest.
 */
import type { Writable } from 'node:stream';
import type { Clock } from '../core';
import { LOG_OPTIONS } from './options';

/** A line with what decides whether it is kept. @internal */
export interface BoundedLine {
  /** Called only when the line is kept. */
  readonly format: () => string;
  readonly event: string;
  /** Whether an engineer who explains a failure needs it. */
  readonly isImportant: boolean;
}

/** Lines that may still be written: refilled steadily, up to a burst. */
class LineAllowance {
  private lines: number;

  private filledAtMs: number;

  constructor(
    private readonly perSecond: number,
    private readonly clock: Clock,
  ) {
    this.lines = perSecond * LOG_OPTIONS.burstSeconds;
    this.filledAtMs = clock.nowMs();
  }

  take(): boolean {
    const nowMs = this.clock.nowMs();
    const refill = ((nowMs - this.filledAtMs) * this.perSecond) / LOG_OPTIONS.msPerSecond;
    this.lines = Math.min(this.perSecond * LOG_OPTIONS.burstSeconds, this.lines + refill);
    this.filledAtMs = nowMs;
    if (this.lines < 1) return false;
    this.lines -= 1;
    return true;
  }
}

/** @internal */
export class BoundedWriter {
  private readonly ordinary: LineAllowance;

  private readonly important: LineAllowance;

  private readonly omitted = new Map<string, number>();

  constructor(
    private readonly output: Pick<Writable, 'write' | 'writableLength'>,
    clock: Clock,
  ) {
    this.ordinary = new LineAllowance(LOG_OPTIONS.ordinaryLinesPerSecond, clock);
    this.important = new LineAllowance(LOG_OPTIONS.importantLinesPerSecond, clock);
  }

  write({ format, event, isImportant }: BoundedLine): void {
    const isBehind = this.output.writableLength > LOG_OPTIONS.maxUnwrittenBytes;
    const isAllowed = this.ordinary.take() || (isImportant && this.important.take());
    if (isBehind || !isAllowed) {
      this.omitted.set(event, (this.omitted.get(event) ?? 0) + 1);
      return;
    }
    if (this.omitted.size > 0) {
      const counts = Object.fromEntries(this.omitted);
      this.omitted.clear();
      this.output.write(`${JSON.stringify({ level: 'warn', event: 'lines left out', counts })}\n`);
    }
    this.output.write(format());
  }
}
