/**
 * Discrete-event loop: time jumps to the next event, and events due at the same time run in the
 * order in which they were scheduled.
 */
interface ScheduledEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
  readonly isQuiet: boolean;
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

export class EventLoop {
  /** Binary heap by time. */
  private readonly heap: ScheduledEvent[] = [];

  private currentMs = 0;

  private lastSequence = 0;

  private taskWoken = false;

  get nowMs(): number {
    return this.currentMs;
  }

  /** Whether the last event may have woken a task. */
  get hasWokenTask(): boolean {
    return this.taskWoken;
  }

  /** Records that a quiet event has woken a task. */
  markTaskWoken(): void {
    this.taskWoken = true;
  }

  /** A quiet event, such as an engine step, wakes no task unless it calls `markTaskWoken`. */
  schedule(atMs: number, run: () => void, isQuiet = false): void {
    this.lastSequence += 1;
    this.heap.push({
      atMs: Math.max(atMs, this.currentMs),
      sequence: this.lastSequence,
      run,
      isQuiet,
    });
    this.siftUp(this.heap.length - 1);
  }

  /** Runs the next event that is due by `endMs`; false when there is none. */
  runNext(endMs: number): boolean {
    const [next] = this.heap;
    if (!next || next.atMs > endMs) return false;
    const last = this.heap.pop() as ScheduledEvent;
    if (this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown(0);
    }
    this.currentMs = next.atMs;
    this.taskWoken = !next.isQuiet;
    next.run();
    return true;
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.swapIfBefore(index, parent)) return;
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = index * 2 + 1;
      if (left >= this.heap.length) return;
      const right = left + 1;
      const isRight = right < this.heap.length && isBefore(this.at(right), this.at(left));
      const child = isRight ? right : left;
      if (!this.swapIfBefore(child, index)) return;
      index = child;
    }
  }

  private swapIfBefore(index: number, other: number): boolean {
    const event = this.at(index);
    if (!isBefore(event, this.at(other))) return false;
    this.heap[index] = this.at(other);
    this.heap[other] = event;
    return true;
  }

  private at(index: number): ScheduledEvent {
    return this.heap[index] as ScheduledEvent;
  }
}
