/**
 * The two forms of the widely used completions format.
 */
import { z } from 'zod';
import type { FinishReason } from './EngineSequence';

/** Fields of a request that both forms have. */
const commonFields = {
  model: z.string(),
  stream: z.boolean().default(false),
  /** Lower goes first. */
  priority: z.int().default(0),
  max_tokens: z.int().positive().optional(),
  max_completion_tokens: z.int().positive().optional(),
  /** Lets a test choose the output length. */
  metadata: z.object({ output_tokens: z.coerce.number().int().positive().optional() }).optional(),
};

const chatSchema = z.object({
  ...commonFields,
  messages: z.array(z.object({ role: z.string(), content: z.unknown() })).min(1),
});

const textSchema = z.object({ ...commonFields, prompt: z.string() });

/** What the engine needs of a request, whatever its form. @public */
export interface CompletionRequest {
  readonly model: string;
  readonly isStreamed: boolean;
  readonly priority: number;
  readonly prompt: string;
  readonly maxOutputTokens: number;
  readonly outputTokens: number | undefined;
}

/** Facts of a generation that every message repeats. @public */
export interface CompletionMetadata {
  readonly generationId: string;
  readonly model: string;
  readonly createdAtSeconds: number;
}

/** @public */
export interface CompletionUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

type CommonRequest = Omit<z.infer<typeof textSchema>, 'prompt'>;

/** @public */
export abstract class CompletionFormat {
  abstract readonly path: string;

  /** `object` of a whole answer and of a piece of a stream. */
  protected abstract readonly objectNames: { readonly whole: string; readonly piece: string };

  /** @throws ZodError for a malformed body. */
  abstract parse(body: unknown): CompletionRequest;

  protected abstract createPieceChoice(text: string, position: number): object;

  protected abstract createWholeChoice(text: string): object;

  /** @param reason null for every token but the last. */
  formatChunk(
    facts: CompletionMetadata,
    text: string,
    position: number,
    reason: FinishReason | null,
  ): string {
    const choice = { index: 0, ...this.createPieceChoice(text, position), finish_reason: reason };
    return this.format(facts, this.objectNames.piece, { choices: [choice] });
  }

  formatCompletion(
    facts: CompletionMetadata,
    text: string,
    reason: FinishReason,
    { promptTokens, outputTokens }: CompletionUsage,
  ): string {
    const choice = { index: 0, ...this.createWholeChoice(text), finish_reason: reason };
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: outputTokens,
      total_tokens: promptTokens + outputTokens,
    };
    return this.format(facts, this.objectNames.whole, { choices: [choice], usage });
  }

  protected toRequest(common: CommonRequest, prompt: string): CompletionRequest {
    return {
      model: common.model,
      isStreamed: common.stream,
      priority: common.priority,
      prompt,
      maxOutputTokens: common.max_completion_tokens ?? common.max_tokens ?? Infinity,
      outputTokens: common.metadata?.output_tokens,
    };
  }

  private format(facts: CompletionMetadata, object: string, fields: object): string {
    const { generationId, model, createdAtSeconds } = facts;
    return JSON.stringify({
      id: generationId,
      object,
      created: createdAtSeconds,
      model,
      ...fields,
    });
  }
}

/** @public */
export class ChatFormat extends CompletionFormat {
  readonly path = '/v1/chat/completions';

  protected readonly objectNames = { whole: 'chat.completion', piece: 'chat.completion.chunk' };

  parse(body: unknown): CompletionRequest {
    const { messages, ...common } = chatSchema.parse(body);
    const prompt = messages
      .map(({ role, content }) => `${role}\n${this.toText(content)}\n`)
      .join('');
    return this.toRequest(common, prompt);
  }

  protected createPieceChoice(text: string, position: number): object {
    return { delta: position === 0 ? { role: 'assistant', content: text } : { content: text } };
  }

  protected createWholeChoice(text: string): object {
    return { message: { role: 'assistant', content: text } };
  }

  private toText(content: unknown): string {
    return typeof content === 'string' ? content : JSON.stringify(content);
  }
}

/** @public */
export class TextFormat extends CompletionFormat {
  readonly path = '/v1/completions';

  protected readonly objectNames = { whole: 'text_completion', piece: 'text_completion' };

  parse(body: unknown): CompletionRequest {
    const { prompt, ...common } = textSchema.parse(body);
    return this.toRequest(common, prompt);
  }

  protected createPieceChoice(text: string): object {
    return { text };
  }

  protected createWholeChoice(text: string): object {
    return { text };
  }
}
