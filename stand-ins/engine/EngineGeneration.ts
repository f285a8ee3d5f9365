/**
 * Output state of one generation, for the streams that read it.
 *
 * The text of a token is a function of the id and the position, so only the token count is stored.
 */
import { ChangeSignal } from '../ChangeSignal';
import type { CompletionMetadata, CompletionFormat } from './CompletionFormat';
import type { FinishReason } from './EngineSequence';

/** Why a generation ended. @public */
export type EndReason = FinishReason | 'cancelled';

/** State of a generation as shown to tests. @public */
export interface GenerationView {
  readonly generationId: string;
  readonly model: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly emittedTokens: number;
  readonly preemptions: number;
  /** Number of streams opened so far, including the first. */
  readonly attachments: number;
  readonly endReason: EndReason | null;
  /** Whether the engine had already announced that it is leaving when the request arrived. */
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

  /** Returns the finish reason for a token's event; null except for the last token. */
  getFinishReason(position: number): FinishReason | null {
    if (position !== this.emitted - 1 || this.reason === 'cancelled') return null;
    return this.reason ?? null;
  }

  /** Infinite while the generation is running. */
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

  /** Entity tag of the newest stream; only its reader may cancel the generation. */
  get attachment(): string {
    return `"${this.attachmentCount}"`;
  }

  /** Registers a new reader and returns the entity tag of its stream. */
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

  /** Waits for a token; false if the generation ended before it or the signal was aborted. */
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
