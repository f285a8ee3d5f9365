/**
 * One generation inside the scheduler.
 */

/** @public */
export interface SequenceRequest {
  readonly generationId: string;
  readonly model: string;
  /** Lower goes first. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Names of the prompt's leading blocks, for the prefix cache. */
  readonly promptBlocks: ReadonlyArray<string>;
  readonly maxOutputTokens: number;
  /** Length of the output before `maxOutputTokens` bounds it; drawn from the seed by default. */
  readonly outputTokens?: number;
}

/** @public */
export type FinishReason = 'stop' | 'length';

/** @internal */
export class EngineSequence {
  private emitted = 0;

  private prefillLeft = 0;

  constructor(
    readonly request: SequenceRequest,
    private readonly outputTokens: number,
    /** Order of arrival; a preempted sequence keeps it. */
    readonly arrival: number,
  ) {}

  get emittedTokens(): number {
    return this.emitted;
  }

  /** Memory that the sequence needs while it runs. */
  get contextTokens(): number {
    return this.request.promptTokens + this.emitted;
  }

  get isPrefilled(): boolean {
    return this.prefillLeft === 0;
  }

  get finishReason(): FinishReason | undefined {
    const { maxOutputTokens } = this.request;
    if (this.emitted < Math.min(this.outputTokens, maxOutputTokens)) return undefined;
    return this.outputTokens <= maxOutputTokens ? 'stop' : 'length';
  }

  /** Starts, or starts again after preemption: everything that isn't cached is computed again. */
  admit(cachedTokens: number): void {
    this.prefillLeft = Math.max(0, this.contextTokens - cachedTokens);
  }

  /** Computes prompt tokens within the budget and returns how many. */
  prefill(budgetTokens: number): number {
    const computed = Math.min(budgetTokens, this.prefillLeft);
    this.prefillLeft -= computed;
    return computed;
  }

  /** Emits the next token and returns its position. */
  emit(): number {
    this.emitted += 1;
    return this.emitted - 1;
  }

  /** Whether the sequence is served before the other. */
  precedes(other: EngineSequence): boolean {
    const difference = this.request.priority - other.request.priority;
    return difference === 0 ? this.arrival < other.arrival : difference < 0;
  }
}
