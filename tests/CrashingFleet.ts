/**
 * A fleet of nodes and engines without a network, for the decisions about crashes: each node has its
 * own evidence and learns that of the others with a delay.
 *
 * A request with a deadly part crashes its engine as it begins to answer.
 */
import type { PromptPartId } from '../src/core';
import {
  addCrash,
  addSound,
  checkPromptParts,
  findHarmfulParts,
  getHarmfulKey,
  mergeEvidence,
  NO_EVIDENCE,
  SeededRandom,
  type CrashEvidence,
} from '../src/decisions';
import type { PromptMix, PromptParts } from './PromptMix';

export const FLEET_TIMES = {
  lengthMs: 40_000,
  stepMs: 100,
  /** Time that knowledge takes from any node to any other. */
  exchangeMs: 1_500,
  /** Time for which one trial in the fleet keeps others away. */
  trialMs: 10_000,
  /** Time that a request waits until its answer begins. */
  prefillMs: 400,
  restartMs: 3_500,
  deadlyFromMs: 5_000,
} as const;

export interface CrashingFleetOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly engines: number;
  /** Requests of all nodes together. */
  readonly requestsPerSecond: number;
  readonly deadlyShare: number;
  readonly deadlyParts: ReadonlyArray<string>;
  readonly prompts: PromptMix;
  /** From when on sound requests are sent. */
  readonly soundFromMs?: number;
  /** Share of the seconds in which an engine crashes for another reason. */
  readonly otherCrashShare: number;
}

interface WaitingRequest {
  readonly node: number;
  readonly engine: number;
  readonly parts: PromptParts;
  readonly beginsAtMs: number;
}

export class CrashingFleet {
  /** Crashes of engines under each deadly part. */
  readonly deadlyCrashes = new Map<string, number>();

  readonly quarantinedParts = new Set<string>();

  /** Times of those crashes. */
  deadlyCrashTimesMs: ReadonlyArray<number> = [];

  soundRequests = 0;

  refusedSoundRequests = 0;

  /** When sound requests were refused. */
  refusalTimesMs: ReadonlyArray<number> = [];

  private readonly random: SeededRandom;

  private evidence: ReadonlyArray<CrashEvidence>;

  /** What the nodes have told, and what of it is on the way to all others. */
  private told: CrashEvidence = NO_EVIDENCE;

  private arriving: CrashEvidence = NO_EVIDENCE;

  private waiting: ReadonlyArray<WaitingRequest> = [];

  private nowMs = 0;

  private readonly soundAtMs = new Map<PromptPartId, number>();

  /** By key of the quarantined parts. */
  private readonly trialAtMs = new Map<string, number>();

  private readonly upAtMs = new Map<number, number>();

  constructor(private readonly options: CrashingFleetOptions) {
    this.random = new SeededRandom(options.seed);
    this.evidence = Array.from({ length: options.nodes }, () => NO_EVIDENCE);
  }

  play(): void {
    const { lengthMs, stepMs, exchangeMs } = FLEET_TIMES;
    for (; this.nowMs < lengthMs; this.nowMs += stepMs) {
      if (this.nowMs % exchangeMs === 0) this.exchange();
      this.beginAnswers();
      this.crashForOtherReason();
      this.sendRequests();
    }
  }

  private exchange(): void {
    this.evidence = this.evidence.map((own) => mergeEvidence(own, this.arriving));
    this.soundAtMs.forEach((atMs, part) => {
      this.told = addSound(this.told, part, atMs);
    });
    this.arriving = this.told;
  }

  private beginAnswers(): void {
    this.waiting
      .filter(({ beginsAtMs }) => beginsAtMs <= this.nowMs)
      .forEach((request) => {
        // An engine that crashed a moment ago took it along.
        if (!this.waiting.includes(request)) return;
        const killer = request.parts.find((part) => this.options.deadlyParts.includes(part));
        if (killer !== undefined) {
          this.deadlyCrashes.set(killer, (this.deadlyCrashes.get(killer) ?? 0) + 1);
          this.deadlyCrashTimesMs = [...this.deadlyCrashTimesMs, this.nowMs];
          this.crash(request.engine, request);
          return;
        }
        this.waiting = this.waiting.filter((other) => other !== request);
        request.parts.forEach((part) => this.soundAtMs.set(part, this.nowMs));
      });
  }

  private crash(engine: number, killer?: WaitingRequest): void {
    this.upAtMs.set(engine, this.nowMs + FLEET_TIMES.restartMs);
    const lost = this.waiting.filter((request) => request.engine === engine);
    this.waiting = this.waiting.filter((request) => request.engine !== engine);
    lost.forEach((request) => {
      const suspects = [{ parts: request.parts, hadHead: request === killer }];
      const report = { crashId: `${engine}@${this.nowMs}`, atMs: this.nowMs, suspects };
      this.told = addCrash(this.told, report);
      this.evidence = this.evidence.map((own, node) =>
        node === request.node ? addCrash(own, report) : own,
      );
    });
  }

  private crashForOtherReason(): void {
    const isDue = this.nowMs % 1_000 === 0 && this.random.next() < this.options.otherCrashShare;
    if (isDue) this.crash(this.random.nextIndex(this.options.engines));
  }

  private sendRequests(): void {
    const perStep = (this.options.requestsPerSecond * FLEET_TIMES.stepMs) / 1_000;
    for (let left = perStep; left > this.random.next(); left -= 1) this.sendRequest();
  }

  private sendRequest(): void {
    const { nodes, deadlyShare, prompts, soundFromMs = 0 } = this.options;
    const node = this.random.nextIndex(nodes);
    const mayBeDeadly = this.nowMs > FLEET_TIMES.deadlyFromMs;
    const isDeadly = mayBeDeadly && this.random.next() < deadlyShare;
    if (!isDeadly && this.nowMs < soundFromMs) return;
    const parts = isDeadly ? prompts.createDeadly(this.random) : prompts.createSound(this.random);
    const isRefused = this.isRefused(node, parts);
    if (!isDeadly) this.countSound(isRefused);
    const engine = this.chooseEngine();
    if (isRefused || engine === undefined) return;
    const beginsAtMs = this.nowMs + FLEET_TIMES.prefillMs;
    this.waiting = [...this.waiting, { node, engine, parts, beginsAtMs }];
  }

  private countSound(isRefused: boolean): void {
    this.soundRequests += 1;
    if (!isRefused) return;
    this.refusedSoundRequests += 1;
    this.refusalTimesMs = [...this.refusalTimesMs, this.nowMs];
  }

  private isRefused(node: number, parts: PromptParts): boolean {
    const quarantined = findHarmfulParts(this.evidence[node] ?? NO_EVIDENCE);
    quarantined.forEach((harmful) =>
      harmful.parts.forEach((part) => this.quarantinedParts.add(part)),
    );
    const verdict = checkPromptParts(quarantined, parts, this.nowMs);
    if (verdict.outcome !== 'trial') return verdict.outcome === 'refuse';
    const key = getHarmfulKey(verdict.harmful);
    const sinceTrialMs = this.nowMs - (this.trialAtMs.get(key) ?? -Infinity);
    if (sinceTrialMs <= FLEET_TIMES.trialMs) return true;
    this.trialAtMs.set(key, this.nowMs);
    return false;
  }

  private chooseEngine(): number | undefined {
    const up = Array.from({ length: this.options.engines }, (_, engine) => engine).filter(
      (engine) => (this.upAtMs.get(engine) ?? 0) <= this.nowMs,
    );
    return up[this.random.nextIndex(up.length)];
  }
}
