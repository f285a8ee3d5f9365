/**
 * A fleet of nodes and engines without a network, for the decisions about crashes: each node has its
 * own evidence and learns that of the others with a delay.
 *
 * Requests share their first two parts with others. A deadly one has another part behind them, and
 * crashes its engine as it begins to answer.
 */
import type { PromptPartId } from '../src/core';
import {
  addCrash,
  addSound,
  findHarmfulParts,
  mergeEvidence,
  NO_EVIDENCE,
  SeededRandom,
  type CrashEvidence,
} from '../src/decisions';

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

const FIRST_PARTS = 8;
const SECOND_PARTS = 70;

export interface CrashingFleetOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly engines: number;
  /** Requests of all nodes together. */
  readonly requestsPerSecond: number;
  readonly deadlyShare: number;
  readonly deadlyParts: ReadonlyArray<string>;
  /** Share of the seconds in which an engine crashes for another reason. */
  readonly otherCrashShare: number;
}

interface WaitingRequest {
  readonly node: number;
  readonly engine: number;
  readonly parts: ReadonlyArray<PromptPartId>;
  readonly beginsAtMs: number;
}

export class CrashingFleet {
  /** Crashes of engines under each deadly part. */
  readonly deadlyCrashes = new Map<string, number>();

  readonly quarantinedParts = new Set<string>();

  soundRequests = 0;

  refusedSoundRequests = 0;

  private readonly random: SeededRandom;

  private evidence: ReadonlyArray<CrashEvidence>;

  /** What the nodes have told, and what of it is on the way to all others. */
  private told: CrashEvidence = NO_EVIDENCE;

  private arriving: CrashEvidence = NO_EVIDENCE;

  private waiting: ReadonlyArray<WaitingRequest> = [];

  private nowMs = 0;

  private readonly soundAtMs = new Map<PromptPartId, number>();

  private readonly trialAtMs = new Map<PromptPartId, number>();

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
    const { nodes, deadlyShare, deadlyParts } = this.options;
    const node = this.random.nextIndex(nodes);
    const mayBeDeadly = this.nowMs > FLEET_TIMES.deadlyFromMs;
    const isDeadly = mayBeDeadly && this.random.next() < deadlyShare;
    const first = isDeadly ? 0 : this.random.nextIndex(FIRST_PARTS);
    const second = isDeadly ? 0 : this.random.nextIndex(SECOND_PARTS);
    const deadly = isDeadly ? [deadlyParts[this.random.nextIndex(deadlyParts.length)] ?? ''] : [];
    const parts = [`first-${first}`, `second-${second}`, ...deadly] as PromptPartId[];
    const isRefused = this.isRefused(node, parts);
    if (!isDeadly) this.soundRequests += 1;
    if (!isDeadly && isRefused) this.refusedSoundRequests += 1;
    const engine = this.chooseEngine();
    if (isRefused || engine === undefined) return;
    const beginsAtMs = this.nowMs + FLEET_TIMES.prefillMs;
    this.waiting = [...this.waiting, { node, engine, parts, beginsAtMs }];
  }

  private isRefused(node: number, parts: ReadonlyArray<PromptPartId>): boolean {
    const harmful = findHarmfulParts(this.evidence[node] ?? NO_EVIDENCE);
    harmful.forEach(({ part }) => this.quarantinedParts.add(part));
    return parts.some((part) => {
      const found = harmful.get(part);
      if (!found) return false;
      const sinceTrialMs = this.nowMs - (this.trialAtMs.get(part) ?? -Infinity);
      const isTrial = found.retryAtMs <= this.nowMs && sinceTrialMs > FLEET_TIMES.trialMs;
      if (isTrial) this.trialAtMs.set(part, this.nowMs);
      return !isTrial;
    });
  }

  private chooseEngine(): number | undefined {
    const up = Array.from({ length: this.options.engines }, (_, engine) => engine).filter(
      (engine) => (this.upAtMs.get(engine) ?? 0) <= this.nowMs,
    );
    return up[this.random.nextIndex(up.length)];
  }
}
