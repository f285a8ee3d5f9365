/**
 * One generation in the scheduler.
 */

/** @public */
export interface SequenceRequest {
  readonly generationId: string;
  readonly model: string;
  /** Lower values are served first. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Hashes of the prompt's leading blocks, for the prefix cache. */
  readonly promptBlocks: ReadonlyArray<string>;
  readonly maxOutputTokens: number;
  /** Output length before `maxOutputTokens` is applied; by default drawn from the seed. */
  readonly outputTokens?: number;
}

/** @public */
export type FinishReason = 'stop' | 'length';

/** @internal */
export class EngineSequence {
  private emitted = 0;

  private remainingPrefillTokens = 0;

  constructor(
    readonly request: SequenceRequest,
    private readonly outputTokens: number,
    /** Number in order of arrival; unchanged by a preemption. */
    readonly arrival: number,
  ) {}

  get emittedTokens(): number {
    return this.emitted;
  }

  /** Memory that the sequence occupies while it runs. */
  get contextTokens(): number {
    return this.request.promptTokens + this.emitted;
  }

  get isPrefilled(): boolean {
    return this.remainingPrefillTokens === 0;
  }

  get finishReason(): FinishReason | undefined {
    const { maxOutputTokens } = this.request;
    if (this.emitted < Math.min(this.outputTokens, maxOutputTokens)) return undefined;
    return this.outputTokens <= maxOutputTokens ? 'stop' : 'length';
  }

  /** Starts the prefill; after a preemption, all tokens that aren't cached are computed again. */
  admit(cachedTokens: number): void {
    this.remainingPrefillTokens = Math.max(0, this.contextTokens - cachedTokens);
  }

  /** Computes prefill tokens within the budget and returns their number. */
  prefill(budgetTokens: number): number {
    const computed = Math.min(budgetTokens, this.remainingPrefillTokens);
    this.remainingPrefillTokens -= computed;
    return computed;
  }

  /** Emits the next token and returns its position. */
  emit(): number {
    this.emitted += 1;
    return this.emitted - 1;
  }

  /** Returns whether the sequence is served before the other. */
  precedes(other: EngineSequence): boolean {
    const difference = this.request.priority - other.request.priority;
    return difference === 0 ? this.arrival < other.arrival : difference < 0;
  }
}
