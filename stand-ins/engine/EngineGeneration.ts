/**
 * One generation as its readers see it.
 *
 * The text follows from the id and the position, so only the number of tokens is kept.
 */
import { ChangeSignal } from '../ChangeSignal';
import type { CompletionMetadata, CompletionFormat } from './CompletionFormat';
import type { FinishReason } from './EngineSequence';

/** Why a generation ended. @public */
export type EndReason = FinishReason | 'cancelled';

/** What a test may ask about a generation. @public */
export interface GenerationView {
  readonly generationId: string;
  readonly model: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly emittedTokens: number;
  readonly preemptions: number;
  /** Number of streams that were opened, the first included. */
  readonly attachments: number;
  readonly endReason: EndReason | null;
  /** Whether the engine had announced that it leaves when the request came. */
  readonly startedWhileLeaving: boolean;
}

/** @internal */
export class EngineGeneration {
  private emitted = 0;

  private preemptionCount = 0;

  private attachmentCount = 0;

  private reason: EndReason | undefined;

  private endAtMs = Infinity;

  private readonly changed = new ChangeSignal();

  constructor(
    readonly metadata: CompletionMetadata,
    readonly format: CompletionFormat,
    private readonly details: Pick<
      GenerationView,
      'priority' | 'promptTokens' | 'startedWhileLeaving'
    >,
  ) {}

  get emittedTokens(): number {
    return this.emitted;
  }

  get endReason(): EndReason | undefined {
    return this.reason;
  }

  /** The reason that stands in the event of a token; null for every token but the last. */
  getFinishReason(position: number): FinishReason | null {
    if (position !== this.emitted - 1 || this.reason === 'cancelled') return null;
    return this.reason ?? null;
  }

  /** Infinite while the generation runs. */
  get endedAtMs(): number {
    return this.endAtMs;
  }

  get promptTokens(): number {
    return this.details.promptTokens;
  }

  get view(): GenerationView {
    const { generationId, model } = this.metadata;
    return {
      generationId,
      model,
      ...this.details,
      emittedTokens: this.emitted,
      preemptions: this.preemptionCount,
      attachments: this.attachmentCount,
      endReason: this.reason ?? null,
    };
  }

  /** The attachment that was made last. */
  get attachment(): string {
    return `"${this.attachmentCount}"`;
  }

  /** Notes a new reader and returns its attachment. */
  attach(): string {
    this.attachmentCount += 1;
    return this.attachment;
  }

  recordPreemption(): void {
    this.preemptionCount += 1;
  }

  addToken(): void {
    this.emitted += 1;
    this.changed.notify();
  }

  end(reason: EndReason, nowMs: number): void {
    this.reason = reason;
    this.endAtMs = nowMs;
    this.changed.notify();
  }

  /** Waits for the token; false when the generation ended before it or the signal aborted. */
  async waitForToken(position: number, signal: AbortSignal): Promise<boolean> {
    while (this.emitted <= position && !this.reason && !signal.aborted) {
      await this.changed.wait(Infinity, signal);
    }
    return this.emitted > position && !signal.aborted;
  }

  async waitForEnd(signal: AbortSignal): Promise<boolean> {
    while (!this.reason && !signal.aborted) await this.changed.wait(Infinity, signal);
    return !signal.aborted;
  }
}
