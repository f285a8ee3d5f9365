/**
 * The chat and text forms of the OpenAI-compatible completions API.
 */
import * as z from 'zod';
import type { FinishReason } from './EngineSequence';

/** Request fields that are common to both forms. */
const commonFields = {
  model: z.string(),
  stream: z.boolean().default(false),
  /** Lower values are served first. */
  priority: z.int().default(0),
  max_tokens: z.int().positive().optional(),
  max_completion_tokens: z.int().positive().optional(),
  /** Output length, as chosen by a test. */
  metadata: z.object({ output_tokens: z.coerce.number().int().positive().optional() }).optional(),
};

const chatSchema = z.object({
  ...commonFields,
  messages: z.array(z.object({ role: z.string(), content: z.unknown() })).min(1),
});

const textSchema = z.object({ ...commonFields, prompt: z.string() });

/** Request of either form, reduced to the fields that the engine uses. @public */
export interface CompletionRequest {
  readonly model: string;
  readonly isStreamed: boolean;
  readonly priority: number;
  readonly prompt: string;
  readonly maxOutputTokens: number;
  readonly outputTokens: number | undefined;
}

/** Fields of a generation that are repeated in every chunk and response. @public */
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

  /** Values of the field `object` in a complete response and in a chunk of a stream. */
  protected abstract readonly objectNames: { readonly complete: string; readonly chunk: string };

  /** @throws ZodError for a malformed body. */
  abstract parse(body: unknown): CompletionRequest;

  protected abstract createChunkChoice(text: string, position: number): object;

  protected abstract createCompleteChoice(text: string): object;

  /** Formats the chunk of one token; `reason` is null except for the last token. */
  formatChunk(
    metadata: CompletionMetadata,
    text: string,
    position: number,
    reason: FinishReason | null,
  ): string {
    const choice = { index: 0, ...this.createChunkChoice(text, position), finish_reason: reason };
    return this.format(metadata, this.objectNames.chunk, { choices: [choice] });
  }

  formatCompletion(
    metadata: CompletionMetadata,
    text: string,
    reason: FinishReason,
    { promptTokens, outputTokens }: CompletionUsage,
  ): string {
    const choice = { index: 0, ...this.createCompleteChoice(text), finish_reason: reason };
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: outputTokens,
      total_tokens: promptTokens + outputTokens,
    };
    return this.format(metadata, this.objectNames.complete, { choices: [choice], usage });
  }

  protected createRequest(common: CommonRequest, prompt: string): CompletionRequest {
    return {
      model: common.model,
      isStreamed: common.stream,
      priority: common.priority,
      prompt,
      maxOutputTokens: common.max_completion_tokens ?? common.max_tokens ?? Infinity,
      outputTokens: common.metadata?.output_tokens,
    };
  }

  private format(metadata: CompletionMetadata, object: string, fields: object): string {
    const { generationId, model, createdAtSeconds } = metadata;
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

  protected readonly objectNames = { complete: 'chat.completion', chunk: 'chat.completion.chunk' };

  parse(body: unknown): CompletionRequest {
    const { messages, ...common } = chatSchema.parse(body);
    const prompt = messages
      .map(({ role, content }) => `${role}\n${this.toText(content)}\n`)
      .join('');
    return this.createRequest(common, prompt);
  }

  protected createChunkChoice(text: string, position: number): object {
    return { delta: position === 0 ? { role: 'assistant', content: text } : { content: text } };
  }

  protected createCompleteChoice(text: string): object {
    return { message: { role: 'assistant', content: text } };
  }

  private toText(content: unknown): string {
    return typeof content === 'string' ? content : JSON.stringify(content);
  }
}

/** @public */
export class TextFormat extends CompletionFormat {
  readonly path = '/v1/completions';

  protected readonly objectNames = { complete: 'text_completion', chunk: 'text_completion' };

  parse(body: unknown): CompletionRequest {
    const { prompt, ...common } = textSchema.parse(body);
    return this.createRequest(common, prompt);
  }

  protected createChunkChoice(text: string): object {
    return { text };
  }

  protected createCompleteChoice(text: string): object {
    return { text };
  }
}
