/**
 * Room of a stand-in engine: requests run in its slots, a few wait for one, and the others are
 * rejected. A brittle engine lets fewer wait after some time, and falls over when it has to reject
 * more than a number of requests in a second.
 */

const SECOND_MS = 1_000;

/** @public */
export interface RoomOptions {
  readonly slots: number;
  /** Requests that may wait for a slot. */
  readonly waiting: number;
}

/** @public */
export interface BrittleOptions {
  readonly maxRejectionsPerSecond: number;
  /** Requests that may wait for a slot, from some time after the announcement. */
  readonly waiting: number;
  readonly tightenAfterMs: number;
  /** Time after which an engine that has fallen over is back. */
  readonly downMs: number;
}

/** @public */
export interface EnginePlace {
  /** Resolves when the request has a slot. */
  readonly started: Promise<void>;
  readonly leave: () => void;
}

/** @public */
export class EngineRoom {
  /** Number of times that the engine has fallen over. */
  falls = 0;

  /** Monotonic times of all rejections. */
  rejectionsAtMs: ReadonlyArray<number> = [];

  private brittle: (BrittleOptions & { readonly sinceMs: number }) | undefined;

  private downUntilMs = -Infinity;

  /** Rejections before the last fall don't count for the next one. */
  private countedSinceMs = -Infinity;

  private running = 0;

  private queue: ReadonlyArray<() => void> = [];

  constructor(
    private readonly options: RoomOptions,
    private readonly onFall: () => void,
  ) {}

  /** Value of the header in all answers; undefined while the engine isn't brittle. */
  get header(): string | undefined {
    return this.brittle && String(this.brittle.maxRejectionsPerSecond);
  }

  get isDown(): boolean {
    return performance.now() < this.downUntilMs;
  }

  setBrittle(options: BrittleOptions | undefined): void {
    this.brittle = options && { ...options, sinceMs: performance.now() };
  }

  /** Returns undefined if the request is rejected. */
  enter(): EnginePlace | undefined {
    const nowMs = performance.now();
    if (this.running >= this.options.slots && this.queue.length >= this.getWaiting(nowMs)) {
      this.reject(nowMs);
      return undefined;
    }
    let hasLeft = false;
    let start = (): void => {};
    const started = new Promise<void>((resolve) => {
      start = resolve;
    });
    if (this.running < this.options.slots) {
      this.running += 1;
      start();
    } else {
      this.queue = [...this.queue, start];
    }
    const leave = (): void => {
      if (hasLeft) return;
      hasLeft = true;
      if (this.queue.includes(start)) this.queue = this.queue.filter((each) => each !== start);
      else this.startNext();
    };
    return { started, leave };
  }

  private startNext(): void {
    const [next, ...rest] = this.queue;
    this.queue = rest;
    if (next) next();
    else this.running -= 1;
  }

  private getWaiting(nowMs: number): number {
    const { brittle } = this;
    const isTight = brittle && nowMs >= brittle.sinceMs + brittle.tightenAfterMs;
    return isTight ? brittle.waiting : this.options.waiting;
  }

  private reject(nowMs: number): void {
    this.rejectionsAtMs = [...this.rejectionsAtMs, nowMs];
    const { brittle } = this;
    if (!brittle) return;
    const sinceMs = Math.max(nowMs - SECOND_MS, this.countedSinceMs);
    const counted = this.rejectionsAtMs.filter((atMs) => atMs > sinceMs);
    if (counted.length <= brittle.maxRejectionsPerSecond) return;
    this.falls += 1;
    this.countedSinceMs = nowMs;
    this.downUntilMs = nowMs + brittle.downMs;
    this.onFall();
  }
}
