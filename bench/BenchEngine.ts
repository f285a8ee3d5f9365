/** Engine stand-in on the simulated event loop, with a promise for the end of each generation. */
import type { EndpointReport, Vm } from '../src/core';
import { EngineScheduler } from '../stand-ins/engine';
import type { Deployment } from './deployments';
import type { EventLoop } from './EventLoop';
import { BENCH_OPTIONS } from './options';

export interface EngineRun {
  readonly name: string;
  readonly model: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly prefix: { readonly hash: string; readonly tokens: number };
  readonly outputTokens: number;
  readonly maxOutputTokens: number;
  readonly onToken: () => void;
  readonly onPreempted: () => void;
}

interface ActiveRun extends EngineRun {
  readonly onEnd: (isComplete: boolean) => void;
}

export class BenchEngine {
  private readonly scheduler: EngineScheduler;

  private readonly runs = new Map<string, ActiveRun>();

  private alive = true;

  private stepping = false;

  constructor(
    private readonly loop: EventLoop,
    readonly vm: Vm,
    { engineMemoryTokens }: Deployment,
    reportLagMs: number,
  ) {
    const hiddenMs = Math.min(reportLagMs, BENCH_OPTIONS.hiddenReportLagMs);
    this.scheduler = new EngineScheduler({
      memoryTotalTokens: engineMemoryTokens,
      reportLagMs: reportLagMs + hiddenMs,
    });
  }

  get isAlive(): boolean {
    return this.alive;
  }

  /** Resolves when the generation ends: true if it ran to completion. */
  async generate(run: EngineRun, arrivesAtMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      this.loop.schedule(arrivesAtMs, () => this.submit({ ...run, onEnd: resolve }));
    });
  }

  readReport(): EndpointReport {
    return this.scheduler.getReport(this.loop.nowMs);
  }

  setSpeed(speedFactor: number): void {
    this.scheduler.setSpeed(speedFactor);
  }

  /** Stops at once; running and waiting generations end incomplete. */
  kill(): void {
    this.alive = false;
    this.runs.forEach((run) => run.onEnd(false));
    this.runs.clear();
  }

  private submit(run: ActiveRun): void {
    if (!this.alive) {
      run.onEnd(false);
      return;
    }
    const { cacheBlockTokens } = this.scheduler.options;
    const blocks = Math.floor(run.prefix.tokens / cacheBlockTokens);
    this.runs.set(run.name, run);
    this.scheduler.submit(
      {
        generationId: run.name,
        model: run.model,
        priority: run.priority,
        promptTokens: run.promptTokens,
        promptBlocks: Array.from({ length: blocks }, (_, index) => `${run.prefix.hash}/${index}`),
        maxOutputTokens: run.maxOutputTokens,
        outputTokens: run.outputTokens,
      },
      this.loop.nowMs,
    );
    if (!this.stepping) this.step();
  }

  private step(): void {
    const step = this.alive ? this.scheduler.step(this.loop.nowMs) : undefined;
    this.stepping = step !== undefined;
    if (!step) return;
    step.preempted.forEach((name) => this.runs.get(name)?.onPreempted());
    const finish = (): void => {
      step.tokens.forEach(({ generationId, finishReason }) => {
        this.runs.get(generationId)?.onToken();
        if (finishReason) this.complete(generationId);
      });
      this.step();
    };
    this.loop.schedule(this.loop.nowMs + step.durationMs, finish, true);
  }

  private complete(name: string): void {
    this.runs.get(name)?.onEnd(true);
    this.runs.delete(name);
    this.loop.markTaskWoken();
  }
}
