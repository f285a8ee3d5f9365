/**
 * Simulates continuous batching with limited KV cache memory, without any I/O.
 *
 * The caller provides the clock: `step(nowMs)` computes one step and returns its duration. The same
 * calls with the same seed produce the same steps, so a bench can run many engines in virtual time.
 */
import { EngineSequence, type FinishReason, type SequenceRequest } from './EngineSequence';
import { ReportHistory, type EngineReport } from './ReportHistory';
import { ENGINE_DEFAULTS, type EngineOptions } from './options';
import { drawOutputTokens, getOutputToken } from './outputTokens';
import { PrefixCache, type CacheEvent } from './PrefixCache';
import { SequenceQueue } from './SequenceQueue';

/** @public */
export interface EmittedToken {
  readonly generationId: string;
  readonly position: number;
  readonly text: string;
  /** Set on the last token. */
  readonly finishReason?: FinishReason;
}

/** @public */
export interface EngineStep {
  /** Tokens that are emitted at the end of the step. */
  readonly tokens: ReadonlyArray<EmittedToken>;
  readonly durationMs: number;
  /** Ids of the generations that were preempted in this step and are waiting again. */
  readonly preempted: ReadonlyArray<string>;
}

/** @public */
export class EngineScheduler {
  readonly options: EngineOptions;

  private readonly sequences = new Map<string, EngineSequence>();

  private readonly waiting = new SequenceQueue();

  private readonly running = new SequenceQueue();

  private readonly cache: PrefixCache;

  private readonly reportHistory: ReportHistory;

  private memoryUsedTokens = 0;

  private preemptionCount = 0;

  private arrivalCount = 0;

  private speedFactor: number;

  private isLeaving = false;

  private models: ReadonlyArray<string>;

  private versions: EngineReport['versions'] = {};

  private role = 'mixed';

  constructor(options: Partial<EngineOptions> = {}) {
    this.options = { ...ENGINE_DEFAULTS, ...options };
    this.speedFactor = this.options.speedFactor;
    this.models = this.options.models;
    this.cache = new PrefixCache(this.options);
    this.reportHistory = new ReportHistory(this.currentReport, this.options.reportLagMs);
  }

  /** Report of the present state; `getReport` returns it only after the report lag. */
  get currentReport(): EngineReport {
    return {
      memoryUsedTokens: this.memoryUsedTokens,
      memoryTotalTokens: this.options.memoryTotalTokens,
      running: this.running.size,
      waiting: this.waiting.size,
      preemptions: this.preemptionCount,
      leaving: this.isLeaving,
      models: this.models,
      role: this.role,
      versions: this.versions,
    };
  }

  getReport(nowMs: number): EngineReport {
    return this.reportHistory.get(nowMs);
  }

  listCacheEvents(afterNumber: number, nowMs: number): ReadonlyArray<CacheEvent> {
    return this.cache.listEvents(afterNumber, nowMs);
  }

  /** @throws RangeError for an empty prompt, a prompt larger than the memory, or an id in use. */
  submit(request: SequenceRequest, nowMs: number): void {
    const { generationId, promptTokens } = request;
    if (promptTokens < 1) throw new RangeError('the prompt is empty');
    if (promptTokens >= this.options.memoryTotalTokens) {
      throw new RangeError('the prompt is larger than the memory');
    }
    if (this.sequences.has(generationId)) throw new RangeError('the generation exists already');
    const outputTokens = request.outputTokens ?? drawOutputTokens(generationId, this.options);
    const sequence = new EngineSequence(request, outputTokens, this.arrivalCount);
    this.arrivalCount += 1;
    this.sequences.set(generationId, sequence);
    this.waiting.add(sequence);
    this.record(nowMs);
  }

  /** Removes a generation and returns whether it was unfinished. */
  cancel(generationId: string, nowMs: number): boolean {
    const sequence = this.sequences.get(generationId);
    if (!sequence) return false;
    this.remove(sequence);
    this.record(nowMs);
    return true;
  }

  /** Computes one step; undefined when there is nothing to do until the next `submit`. */
  step(nowMs: number): EngineStep | undefined {
    this.admitWaiting(nowMs);
    if (this.running.size === 0) return undefined;
    const batchSize = this.running.size;
    const prefilledTokens = this.prefill();
    const preempted: string[] = [];
    const tokens = [...this.running]
      .filter((sequence) => sequence.isPrefilled)
      .map((sequence) => this.decode(sequence, preempted))
      .filter((token) => token !== undefined);
    this.record(nowMs);
    const { stepBaseMs, stepPerSequenceMs, prefillMsPerToken } = this.options;
    const workMs = stepBaseMs + stepPerSequenceMs * batchSize + prefillMsPerToken * prefilledTokens;
    return { tokens, preempted, durationMs: workMs / this.speedFactor };
  }

  setSpeed(speedFactor: number): void {
    this.speedFactor = speedFactor;
  }

  setReportLag(lagMs: number): void {
    this.reportHistory.setLag(lagMs);
  }

  setLeaving(isLeaving: boolean, nowMs: number): void {
    this.isLeaving = isLeaving;
    this.record(nowMs);
  }

  setModels(
    models: ReadonlyArray<string>,
    versions: EngineReport['versions'],
    nowMs: number,
  ): void {
    this.models = models;
    this.versions = versions;
    this.record(nowMs);
  }

  setRole(role: string, nowMs: number): void {
    this.role = role;
    this.record(nowMs);
  }

  /** Admits in strict queue order: no sequence overtakes a larger one that waits for memory. */
  private admitWaiting(nowMs: number): void {
    const { maxBatch, memoryTotalTokens } = this.options;
    for (let next = this.waiting.first; next; next = this.waiting.first) {
      const neededTokens = next.contextTokens + 1;
      if (this.running.size >= maxBatch) return;
      if (this.memoryUsedTokens + neededTokens > memoryTotalTokens) return;
      const { promptBlocks } = next.request;
      next.admit(this.cache.countCachedTokens(promptBlocks));
      this.cache.store(promptBlocks, nowMs);
      this.waiting.remove(next);
      this.running.add(next);
      this.memoryUsedTokens += next.contextTokens;
    }
  }

  private prefill(): number {
    let budgetTokens = this.options.prefillTokensPerStep;
    for (const sequence of this.running) budgetTokens -= sequence.prefill(budgetTokens);
    return this.options.prefillTokensPerStep - budgetTokens;
  }

  /** Emits one token, unless the sequence has been preempted or is preempted for lack of memory. */
  private decode(sequence: EngineSequence, preempted: string[]): EmittedToken | undefined {
    if (!this.running.has(sequence)) return undefined;
    const { generationId } = sequence.request;
    if (!this.freeMemory(sequence, preempted)) return undefined;
    const position = sequence.emit();
    this.memoryUsedTokens += 1;
    const isFull = this.running.size === 1 && !this.hasFreeMemory();
    const finishReason = sequence.finishReason ?? (isFull ? 'length' : undefined);
    if (finishReason) this.remove(sequence);
    return { generationId, position, text: getOutputToken(generationId, position), finishReason };
  }

  private hasFreeMemory(): boolean {
    return this.memoryUsedTokens < this.options.memoryTotalTokens;
  }

  /** Preempts the last sequences until memory is free; false if that includes the given one. */
  private freeMemory(sequence: EngineSequence, preempted: string[]): boolean {
    while (!this.hasFreeMemory()) {
      const victim = this.running.last ?? sequence;
      this.running.remove(victim);
      this.memoryUsedTokens -= victim.contextTokens;
      this.waiting.add(victim);
      this.preemptionCount += 1;
      preempted.push(victim.request.generationId);
      if (victim === sequence) return false;
    }
    return true;
  }

  private remove(sequence: EngineSequence): void {
    this.sequences.delete(sequence.request.generationId);
    if (this.running.remove(sequence)) this.memoryUsedTokens -= sequence.contextTokens;
    this.waiting.remove(sequence);
  }

  private record(nowMs: number): void {
    this.reportHistory.record(this.currentReport, nowMs);
  }
}
