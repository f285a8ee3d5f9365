/**
 * Engines with a memory of limited size, for tests of the decisions on waiting generations. A run holds
 * memory until it ends; what an engine has no memory for waits in its own queue.
 */
import { forecastRoom, type EngineRoom, type RoomForecast } from './expectedRoom';
import type { Arrival } from './scarceRoomArrivals';
import type { WaitingRequest } from './waitingOrder';

export const ENGINES = 12;
const SLOTS = 24;
const MEMORY_TOKENS = 26_900;
export const PACE_MS = 9;
const NOTICE_MS = 2_000;
const REPLACED_AFTER_MS = 5_000;

export interface Run {
  readonly arrival: Arrival;
  readonly endsAtMs: number;
}

export interface Engine {
  readonly leavesAtMs: number;
  /** Gets no new work before that, as it is leaving or gone. */
  readonly awayUntilMs: number;
  readonly runs: ReadonlyArray<Run>;
  readonly queued: ReadonlyArray<Waiter>;
}

/** An arrival that no engine runs yet, at one of the nodes or in the queue of an engine. */
export interface Waiter extends WaitingRequest {
  readonly origin: Arrival;
  readonly node: number;
}

export const sizeOf = ({ kind }: Arrival): number => kind.promptTokens + kind.outputTokens;

/** The engines of the fleet, by their index. */
export class LoadEngines {
  private engines: ReadonlyArray<Engine> = Array.from({ length: ENGINES }, () => ({
    leavesAtMs: Infinity,
    awayUntilMs: 0,
    runs: [],
    queued: [],
  }));

  /** Engines of the last forecast, which is used again until they change. */
  private forecastOf: ReadonlyArray<Engine> = [];

  private lastForecast = forecastRoom([]);

  list(): ReadonlyArray<Engine> {
    return this.engines;
  }

  endRuns(nowMs: number): void {
    this.engines = this.engines.map((engine) => ({
      ...engine,
      runs: engine.runs.filter(({ endsAtMs }) => endsAtMs > nowMs),
    }));
  }

  /** The engines get notice, leave, and are replaced after a while. */
  remove(leaving: ReadonlyArray<number>, nowMs: number): void {
    const leavesAtMs = nowMs + NOTICE_MS;
    this.engines = this.engines.map((engine, index) =>
      leaving.includes(index)
        ? { ...engine, leavesAtMs, awayUntilMs: leavesAtMs + REPLACED_AFTER_MS }
        : engine,
    );
  }

  private update(index: number, change: (engine: Engine) => Partial<Engine>): void {
    this.engines = this.engines.map((engine, other) =>
      other === index ? { ...engine, ...change(engine) } : engine,
    );
  }

  start(index: number, run: Run): void {
    this.update(index, ({ runs }) => ({ runs: [...runs, run] }));
  }

  end(index: number, run: Run): void {
    this.update(index, ({ runs }) => ({ runs: runs.filter((each) => each !== run) }));
  }

  queueAt(index: number, waiter: Waiter): void {
    this.update(index, ({ queued }) => ({ queued: [...queued, waiter] }));
  }

  dequeue(index: number, waiter: Waiter): void {
    this.update(index, ({ queued }) => ({ queued: queued.filter((each) => each !== waiter) }));
  }

  findEmptiest(nowMs: number): number | undefined {
    const here = this.engines.flatMap(({ awayUntilMs }, index) =>
      awayUntilMs <= nowMs ? [index] : [],
    );
    return here.sort((a, b) => this.loadOf(a) - this.loadOf(b))[0];
  }

  private loadOf(index: number): number {
    const queued = this.engines[index]?.queued ?? [];
    return queued.reduce((sum, { origin }) => sum + sizeOf(origin), 0) - this.freeTokens(index);
  }

  freeTokens(index: number): number {
    const runs = this.engines[index]?.runs ?? [];
    return runs.reduce((free, { arrival }) => free - sizeOf(arrival), MEMORY_TOKENS);
  }

  forecast(nowMs: number): RoomForecast {
    if (this.forecastOf !== this.engines) {
      this.forecastOf = this.engines;
      this.lastForecast = forecastRoom(this.describe(nowMs));
    }
    return this.lastForecast;
  }

  private describe(nowMs: number): ReadonlyArray<EngineRoom> {
    return this.engines.map(({ awayUntilMs, runs, queued }, index) => ({
      region: undefined,
      slots: SLOTS,
      memoryTokens: MEMORY_TOKENS,
      requests: runs.length + queued.length,
      heldTokens: queued.reduce(
        (sum, { origin }) => sum + sizeOf(origin),
        MEMORY_TOKENS - this.freeTokens(index),
      ),
      finalTokens: runs.reduce(
        (sum, { endsAtMs, arrival }) => sum + sizeOf(arrival) + (endsAtMs - nowMs) / PACE_MS,
        queued.reduce((sum, { origin }) => sum + sizeOf(origin), 0),
      ),
      paceMs: PACE_MS,
      isLeaving: awayUntilMs > nowMs,
      movingTokens: awayUntilMs > nowMs ? MEMORY_TOKENS - this.freeTokens(index) : 0,
    }));
  }
}
