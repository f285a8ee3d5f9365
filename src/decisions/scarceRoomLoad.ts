/**
 * Drives arrivals through the decisions on waiting generations, for tests: engines with memory, runs
 * that hold it for a time, and nodes that each queue a random part of the callers.
 */
import { forecastWaitMs, leavesRoom } from './expectedRoom';
import { estimateTokenMs, FairShares } from './fairShares';
import type { Arrival } from './scarceRoomArrivals';
import { ENGINES, LoadEngines, PACE_MS, sizeOf, type Waiter } from './scarceRoomEngines';
import { SeededRandom } from './SeededRandom';
import {
  computeSpareStarts,
  computeWaitLimits,
  judgeWait,
  mayNotStarve,
  orderWaiting,
  type OrderReason,
} from './waitingOrder';

const STEP_MS = 50;
const HOLD_SHARE = 0.4;

export interface PlayedLoad {
  readonly arrivals: ReadonlyArray<Arrival>;
  readonly isFair: boolean;
  readonly nodes: number;
  /** Every so often a sixth of the engines leaves; never if undefined. */
  readonly departureEveryMs?: number;
}

/** `lost`: its engine left, and no other had room for it. */
export type Outcome = 'on time' | 'late' | 'refused' | 'lost';

export interface PlayedArrival extends Arrival {
  readonly origin: Arrival;
  readonly outcome: Outcome;
}

export function shareOnTime(
  played: ReadonlyArray<PlayedArrival>,
  select: (arrival: PlayedArrival) => boolean,
): number {
  const selected = played.filter(select);
  return selected.filter(({ outcome }) => outcome === 'on time').length / selected.length;
}

class LoadPlayer {
  private readonly engines = new LoadEngines();

  private waiting: ReadonlyArray<Waiter> = [];

  private readonly results: PlayedArrival[] = [];

  private readonly lost = new Set<Arrival>();

  private readonly random = new SeededRandom(7);

  private readonly shares: ReadonlyArray<FairShares>;

  private nowMs = 0;

  constructor(private readonly load: PlayedLoad) {
    this.shares = Array.from({ length: load.nodes }, () => new FairShares());
  }

  play(): ReadonlyArray<PlayedArrival> {
    const { arrivals, departureEveryMs = Infinity } = this.load;
    let pending = [...arrivals].sort((a, b) => a.atMs - b.atMs);
    let departureMs = departureEveryMs;
    while (this.results.length < arrivals.length) {
      this.nowMs += STEP_MS;
      const due = pending.filter(({ atMs }) => atMs <= this.nowMs);
      pending = pending.slice(due.length);
      due.forEach((arrival) => this.enqueue(arrival));
      if (this.nowMs >= departureMs) {
        this.removeSixth();
        departureMs += departureEveryMs;
      }
      this.advanceEngines();
      this.migrate();
      if (this.load.isFair) this.placeFairly();
      else this.placeByRank();
    }
    return this.results.map(({ outcome, ...result }) => ({
      ...result,
      outcome: this.lost.has(result.origin) ? 'lost' : outcome,
    }));
  }

  private enqueue(origin: Arrival): void {
    const { kind, customer, atMs: arrivedAtMs } = origin;
    const { firstTokenMs, goalMs: latencyGoalMs } = kind;
    const leavesAtMs = arrivedAtMs + kind.patienceMs;
    const durationMs = firstTokenMs + kind.outputTokens * PACE_MS;
    const waiter: Waiter = {
      origin,
      node: this.random.nextIndex(this.load.nodes),
      arrival: this.results.length + this.waiting.length,
      customer,
      rank: kind.rank,
      arrivedAtMs,
      ...computeWaitLimits({ arrivedAtMs, latencyGoalMs, leavesAtMs, firstTokenMs }),
      needTokens: kind.promptTokens,
      tokenMs: estimateTokenMs(kind.promptTokens, kind.outputTokens, durationMs),
      heldBytes: 4_096,
    };
    this.waiting = [...this.waiting, waiter];
  }

  private removeSixth(): void {
    const first = this.random.nextIndex(ENGINES);
    this.engines.remove([first, (first + 1) % ENGINES], this.nowMs);
  }

  /** The runs of an engine that leaves go on where there is room, and are lost with the engine. */
  private migrate(): void {
    this.engines.list().forEach(({ leavesAtMs, awayUntilMs, runs, queued }, from) => {
      if (awayUntilMs <= this.nowMs) return;
      runs.forEach((run) => {
        const index = this.engines.findEmptiest(this.nowMs);
        if (index === undefined || this.engines.freeTokens(index) < sizeOf(run.arrival)) return;
        this.engines.start(index, run);
        this.engines.end(from, run);
      });
      if (leavesAtMs > this.nowMs) return;
      this.engines.list()[from]?.runs.forEach((run) => {
        this.lost.add(run.arrival);
        this.engines.end(from, run);
      });
      queued.forEach((waiter) => {
        this.finish(waiter, 'refused');
        this.engines.dequeue(from, waiter);
      });
    });
  }

  /** Ends runs, and starts what waits at the engines. */
  private advanceEngines(): void {
    this.engines.endRuns(this.nowMs);
    this.engines.list().forEach(({ queued }, index) => {
      [...queued]
        .sort((a, b) => a.rank - b.rank)
        .filter((waiter) => this.startIfRoom(index, waiter))
        .forEach((waiter) => this.engines.dequeue(index, waiter));
    });
  }

  /** The nodes look for room in no particular order. */
  private shuffleNodes(): ReadonlyArray<number> {
    return Array.from({ length: this.load.nodes }, (_, node) => ({ node, key: this.random.next() }))
      .sort((a, b) => a.key - b.key)
      .map(({ node }) => node);
  }

  private listWaiting(node: number): ReadonlyArray<Waiter> {
    return this.waiting.filter((waiter) => waiter.node === node);
  }

  private placeFairly(): void {
    this.shuffleNodes()
      .filter((node) => this.listWaiting(node).length > 0)
      .forEach((node) => {
        while (this.placeNextOf(node));
        this.refuseWithoutChance(node);
      });
  }

  private placeNextOf(node: number): boolean {
    const shares = this.shares[node] as FairShares;
    return orderWaiting(this.listWaiting(node), shares, this.nowMs).some(({ request, reason }) => {
      const index = this.engines.findEmptiest(this.nowMs);
      if (index === undefined || !this.mayTake(request, reason)) return false;
      if (!this.startIfRoom(index, request)) {
        if (
          (request.rank > 0 && !mayNotStarve(reason)) ||
          this.nowMs < request.arrivedAtMs + request.origin.kind.goalMs * HOLD_SHARE
        ) {
          return false;
        }
        this.engines.queueAt(index, request);
      }
      const { customer, rank, tokenMs } = request;
      shares.charge({ customer, rank, tokenMs }, this.nowMs);
      this.remove(request);
      return true;
    });
  }

  private mayTake(request: Waiter, reason: OrderReason): boolean {
    if (request.rank === 0 || mayNotStarve(reason)) return true;
    const forecast = this.engines.forecast(this.nowMs);
    const shares = this.shares[request.node] as FairShares;
    const capacityStarts = forecast.capacityTokens / request.needTokens;
    const spare = computeSpareStarts(request, shares, capacityStarts, this.nowMs);
    return leavesRoom(forecast, request.needTokens, spare);
  }

  private refuseWithoutChance(node: number): void {
    const shares = this.shares[node] as FairShares;
    const mine = this.listWaiting(node);
    if (mine.length === 0) return;
    const forecast = this.engines.forecast(this.nowMs);
    const ordered = orderWaiting(mine, shares, this.nowMs);
    ordered.forEach(({ request }, requests) => {
      const needTokens = ordered
        .slice(0, requests)
        .reduce((sum, other) => sum + other.request.needTokens, 0);
      const waitMs = forecastWaitMs(forecast, request.needTokens, { requests, needTokens });
      const { outcome } = judgeWait(request, waitMs, forecast.hasIdleEngine, this.nowMs);
      if (outcome === 'wait' && this.nowMs < request.usefulUntilMs) return;
      this.remove(request);
      this.finish(request, 'refused');
    });
  }

  /** As without the feature: by rank and arrival, then in the queue of an engine. */
  private placeByRank(): void {
    const ordered = this.shuffleNodes().flatMap((node) =>
      [...this.listWaiting(node)].sort((a, b) => a.rank - b.rank || a.arrival - b.arrival),
    );
    ordered.forEach((waiter) => {
      const index = this.engines.findEmptiest(this.nowMs);
      if (index === undefined) return;
      const holdMs = waiter.origin.kind.goalMs * HOLD_SHARE;
      if (this.startIfRoom(index, waiter)) this.remove(waiter);
      else if (this.nowMs - waiter.arrivedAtMs >= holdMs) {
        this.engines.queueAt(index, waiter);
        this.remove(waiter);
      }
    });
  }

  private startIfRoom(index: number, waiter: Waiter): boolean {
    if (this.nowMs > waiter.usefulUntilMs) {
      this.finish(waiter, 'refused');
      return true;
    }
    if (this.engines.freeTokens(index) < sizeOf(waiter.origin)) return false;
    const { firstTokenMs, outputTokens } = waiter.origin.kind;
    const endsAtMs = this.nowMs + firstTokenMs + outputTokens * PACE_MS;
    this.engines.start(index, { arrival: waiter.origin, endsAtMs });
    this.finish(waiter, this.nowMs <= waiter.onTimeUntilMs ? 'on time' : 'late');
    return true;
  }

  private finish({ origin }: Waiter, outcome: Outcome): void {
    this.results.push({ ...origin, origin, outcome });
  }

  private remove(waiter: Waiter): void {
    this.waiting = this.waiting.filter((other) => other !== waiter);
  }
}

/** Returns what became of each arrival. */
export function playLoad(load: PlayedLoad): ReadonlyArray<PlayedArrival> {
  return new LoadPlayer(load).play();
}
