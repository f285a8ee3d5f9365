/**
 * Plays long and short prompts on engines that prefill in chunks between the tokens of others, for
 * tests of the decisions that place them.
 */
import type { EndpointId } from '../core';
import { choosePlacement, type PlacementCandidate, type ResourceNeed } from './placement';
import {
  computeMaxPromptWaitMs,
  computePromptLimit,
  isPatient,
  toRequestPriority,
  type PacingGoals,
} from './promptPacing';
import { SeededRandom } from './SeededRandom';

export const GOALS: PacingGoals = {
  urgentGoalMs: 1_500,
  urgentRank: 0,
  maxEventGapMs: 180,
  tokensPerEvent: 4,
};

const KINDS = {
  short: { rank: 0, latencyGoalMs: 1_500, promptTokens: 2_550, outputTokens: 10 },
  long: { rank: 2, latencyGoalMs: 4_000, promptTokens: 3_079, outputTokens: 400 },
} as const;
export type Kind = keyof typeof KINDS;
export const BOTH_KINDS: ReadonlyArray<Kind> = ['short', 'long'];

const SLOTS = 24;
const STEP_MS = 7;
const STEP_MS_PER_RUN = 0.12;
const CHUNK_TOKENS = 112;
const PREFILL_TOKENS_PER_MS = 14;
/** Prefill speed of an engine that generates between the chunks, as a node would measure it. */
const MEASURED_TOKENS_PER_MS = 6;
const MAX_HOLD_SHARE = 0.4;
const RETRY_INTERVAL_MS = 20;
const SNAPSHOT_INTERVAL_MS = 20;
const MS_PER_SECOND = 1_000;

interface Run {
  readonly kind: Kind;
  readonly node: number;
  readonly arrivedMs: number;
  /** Prompt tokens not yet prefilled. */
  unread: number;
  produced: number;
  firstMs: number;
  lastMs: number;
  longestGapMs: number;
}

export interface Scenario {
  readonly engines: number;
  readonly nodes: number;
  readonly memoryTokens: number;
  /** Age of the loads of other nodes. */
  readonly loadAgeMs: number;
  /** Whether an engine admits a prompt only when it has prefilled those before it. */
  readonly admitsOneByOne: boolean;
  readonly isPaced: boolean;
  readonly shortPerSecond: number;
  /** Long prompts that arrive together, and the time until the next ones do. */
  readonly longTogether: number;
  readonly longIntervalMs: number;
  readonly seed: number;
}

/** Times of one kind: its first tokens, its longest pauses, and the shares within the goals. */
export interface KindFigures {
  readonly count: number;
  readonly firstP50Ms: number;
  readonly firstP99Ms: number;
  readonly onTimeShare: number;
  readonly gapP50Ms: number;
  readonly gapP99Ms: number;
  readonly steadyShare: number;
}

class EngineModel {
  readonly runs: Run[] = [];

  readonly queue: Run[] = [];

  private busyUntilMs = 0;

  constructor(private readonly scenario: Scenario) {}

  listAll(): ReadonlyArray<Run> {
    return [...this.runs, ...this.queue];
  }

  listOf(node: number): ReadonlyArray<Run> {
    return this.listAll().filter((run) => run.node === node);
  }

  countHeld(runs: ReadonlyArray<Run>): number {
    return runs.reduce((sum, run) => sum + KINDS[run.kind].promptTokens + run.produced, 0);
  }

  /** Makes one step: a chunk of the oldest prompt and a token of each stream. */
  step(nowMs: number): void {
    if (nowMs < this.busyUntilMs) return;
    this.admit();
    const prompt = this.runs.find(({ unread }) => unread > 0);
    const chunk = Math.min(CHUNK_TOKENS, prompt?.unread ?? 0);
    const stepMs = STEP_MS + STEP_MS_PER_RUN * this.runs.length + chunk / PREFILL_TOKENS_PER_MS;
    this.busyUntilMs = nowMs + stepMs;
    this.runs.filter(({ unread }) => unread === 0).forEach((run) => this.produce(run));
    if (prompt) prompt.unread -= chunk;
    this.removeEnded();
  }

  private admit(): void {
    if (this.scenario.isPaced) {
      const priority = ({ kind }: Run): number => toRequestPriority(KINDS[kind].rank);
      this.queue.sort((a, b) => priority(a) - priority(b));
    }
    for (;;) {
      const [next] = this.queue;
      if (!next || this.runs.length >= SLOTS) return;
      if (this.scenario.admitsOneByOne && this.runs.some(({ unread }) => unread > 0)) return;
      if (this.countHeld([...this.runs, next]) > this.scenario.memoryTokens) return;
      this.queue.shift();
      this.runs.push(next);
    }
  }

  private produce(target: Run): void {
    const run = target;
    run.produced += 1;
    const isEvent = run.produced % GOALS.tokensPerEvent === 1;
    if (!isEvent) return;
    if (run.produced === 1) run.firstMs = this.busyUntilMs;
    else run.longestGapMs = Math.max(run.longestGapMs, this.busyUntilMs - run.lastMs);
    run.lastMs = this.busyUntilMs;
  }

  private removeEnded(): void {
    this.runs
      .filter(({ kind, produced }) => produced >= KINDS[kind].outputTokens)
      .forEach((run) => this.runs.splice(this.runs.indexOf(run), 1));
  }
}

type Load = Pick<
  PlacementCandidate,
  'requests' | 'heldTokens' | 'finalTokens' | 'pendingPrefillTokens'
>;

interface KnownLoad {
  readonly total: Load;
  readonly byNode: ReadonlyArray<Load>;
}

class FleetModel {
  private readonly engines: ReadonlyArray<EngineModel>;

  /** Apart from the draws of the placements, so that the same requests come whatever is decided. */
  private readonly arrivals: SeededRandom;

  private readonly draws: SeededRandom;

  private readonly all: Run[] = [];

  private waiting: ReadonlyArray<Run> = [];

  /** Loads by engine, of all nodes and of each, as they were at earlier times. */
  private history: ReadonlyArray<ReadonlyMap<EngineModel, KnownLoad>> = [];

  constructor(private readonly scenario: Scenario) {
    const { engines, seed } = scenario;
    this.engines = Array.from({ length: engines }, () => new EngineModel(scenario));
    this.arrivals = new SeededRandom(seed);
    this.draws = new SeededRandom(seed);
  }

  /** Lets requests arrive for a time, then waits until all of them have ended. */
  play(arrivalsMs: number): ReadonlyArray<Run> {
    for (let nowMs = 0; nowMs < arrivalsMs || this.isBusy(); nowMs++) {
      if (nowMs < arrivalsMs) this.arrive(nowMs);
      if (nowMs % SNAPSHOT_INTERVAL_MS === 0) this.recordLoads();
      if (nowMs % RETRY_INTERVAL_MS === 0) {
        this.waiting = this.waiting.filter((run) => !this.tryToPlace(run, nowMs));
      }
      this.engines.forEach((engine) => engine.step(nowMs));
    }
    return this.all;
  }

  private isBusy(): boolean {
    return this.waiting.length > 0 || this.engines.some((engine) => engine.listAll().length > 0);
  }

  private arrive(nowMs: number): void {
    const { shortPerSecond, longTogether, longIntervalMs } = this.scenario;
    if (this.arrivals.next() < shortPerSecond / MS_PER_SECOND) this.add('short', nowMs);
    if (nowMs % longIntervalMs !== 0) return;
    for (let index = 0; index < longTogether; index++) this.add('long', nowMs);
  }

  private add(kind: Kind, arrivedMs: number): void {
    const node = this.arrivals.nextIndex(this.scenario.nodes);
    const unread = KINDS[kind].promptTokens;
    const times = { firstMs: Infinity, lastMs: 0, longestGapMs: 0 };
    const run = { kind, node, arrivedMs, unread, produced: 0, ...times };
    this.all.push(run);
    this.waiting = [...this.waiting, run].sort((a, b) => KINDS[a.kind].rank - KINDS[b.kind].rank);
  }

  private recordLoads(): void {
    const loads = new Map(this.engines.map((engine) => [engine, this.sumLoads(engine)]));
    const kept = Math.floor(this.scenario.loadAgeMs / SNAPSHOT_INTERVAL_MS);
    this.history = [loads, ...this.history].slice(0, kept + 1);
  }

  private sumLoads(engine: EngineModel): KnownLoad {
    const byNode = Array.from({ length: this.scenario.nodes }, (_, node) =>
      this.sumLoad(engine, engine.listOf(node)),
    );
    return { total: this.sumLoad(engine, engine.listAll()), byNode };
  }

  private sumLoad(engine: EngineModel, runs: ReadonlyArray<Run>): Load {
    const left = runs.map(({ kind, produced }) => KINDS[kind].outputTokens - produced);
    const pending = runs.filter(({ produced }) => produced === 0);
    return {
      requests: runs.length,
      heldTokens: engine.countHeld(runs),
      finalTokens: engine.countHeld(runs) + left.reduce((sum, tokens) => sum + tokens, 0),
      pendingPrefillTokens: engine.countHeld(pending),
    };
  }

  private describe(engine: EngineModel, index: number, node: number): PlacementCandidate {
    const own = this.sumLoad(engine, engine.listOf(node));
    const known = this.history.at(-1)?.get(engine);
    const sum = (field: keyof Load): number =>
      own[field] + (known?.total[field] ?? 0) - (known?.byNode[node]?.[field] ?? 0);
    return {
      endpointId: String(index) as EndpointId,
      slots: SLOTS,
      memoryTokens: this.scenario.memoryTokens,
      requests: sum('requests'),
      heldTokens: sum('heldTokens'),
      finalTokens: sum('finalTokens'),
      pendingPrefillTokens: sum('pendingPrefillTokens'),
      ownPendingPrefillTokens: own.pendingPrefillTokens,
      endpointsInRegion: this.engines.length,
      distance: 'same-data-centre',
      failureShare: 0,
      isWarmingUp: false,
      isEjected: false,
      slowness: 1,
      timeFactor: 1,
      hasConnection: true,
      hasQuota: true,
    };
  }

  private createNeed({ kind, arrivedMs }: Run, nowMs: number, loadAgeMs: number): ResourceNeed {
    const { rank, latencyGoalMs, promptTokens, outputTokens } = KINDS[kind];
    const need = {
      knownTokens: promptTokens,
      growthTokens: outputTokens,
      prefillTokens: promptTokens,
      tokensPerMs: MEASURED_TOKENS_PER_MS,
      latencyGoalMs,
    };
    if (!this.scenario.isPaced) return need;
    const urgentPromptTokens = KINDS.short.promptTokens;
    const limitTokens = computePromptLimit(
      { goals: GOALS, urgentPromptTokens },
      MEASURED_TOKENS_PER_MS,
    );
    const maxWaitMs = computeMaxPromptWaitMs(need, limitTokens);
    const pacing = {
      goals: GOALS,
      urgentPromptTokens,
      isPatient: isPatient(GOALS, { rank, latencyGoalMs }),
      hasTimeToWait: nowMs - arrivedMs < maxWaitMs,
      loadAgeMs,
    };
    return { ...need, pacing };
  }

  private tryToPlace(run: Run, nowMs: number): boolean {
    const { loadAgeMs } = this.scenario;
    const candidates = this.engines.map((engine, index) => this.describe(engine, index, run.node));
    const mayWait = nowMs - run.arrivedMs < KINDS[run.kind].latencyGoalMs * MAX_HOLD_SHARE;
    const need = this.createNeed(run, nowMs, loadAgeMs);
    const placed = choosePlacement(candidates, need, this.draws.next(), mayWait, loadAgeMs);
    if (placed.outcome !== 'place') return false;
    this.engines[Number(placed.endpointId)]?.queue.push(run);
    return true;
  }
}

function findQuantile(values: ReadonlyArray<number>, share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}

function summarize(runs: ReadonlyArray<Run>, kind: Kind): KindFigures {
  const ofKind = runs.filter((run) => run.kind === kind);
  const firstMs = ofKind.map((run) => run.firstMs - run.arrivedMs);
  const gapsMs = ofKind.map(({ longestGapMs }) => longestGapMs);
  const share = (values: ReadonlyArray<number>, limit: number): number =>
    values.filter((value) => value <= limit).length / values.length;
  return {
    count: ofKind.length,
    firstP50Ms: findQuantile(firstMs, 0.5),
    firstP99Ms: findQuantile(firstMs, 0.99),
    onTimeShare: share(firstMs, KINDS[kind].latencyGoalMs),
    gapP50Ms: findQuantile(gapsMs, 0.5),
    gapP99Ms: findQuantile(gapsMs, 0.99),
    steadyShare: share(gapsMs, GOALS.maxEventGapMs),
  };
}

export function playPrompts(
  scenario: Scenario,
  arrivalsMs = 20_000,
): Readonly<Record<Kind, KindFigures>> {
  const runs = new FleetModel(scenario).play(arrivalsMs);
  return { short: summarize(runs, 'short'), long: summarize(runs, 'long') };
}
