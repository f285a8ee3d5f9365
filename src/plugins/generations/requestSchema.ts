/**
 * Validates the fields of completion requests that the node uses; others go to the engine as is.
 */
import { createHash } from 'node:crypto';
import * as z from 'zod';
import {
  findKindByModel,
  findKindByName,
  ServingError,
  type Contract,
  type GenerationKind,
  type KindClause,
} from '../../core';
import type { CompletionPath, GenerationRequest } from '../../services';
import { GENERATION_OPTIONS } from './options';

const commonShape = {
  model: z.string(),
  stream: z.boolean().nullish(),
  /** Several choices can't share a generation, which has one position for each token. */
  n: z.literal(1).nullish(),
  best_of: z.literal(1).nullish(),
  max_tokens: z.number().int().min(1).nullish(),
  max_completion_tokens: z.number().int().min(1).nullish(),
};

const bodySchemas = {
  'chat/completions': z.looseObject({
    ...commonShape,
    messages: z.array(z.looseObject({ role: z.string() })).min(1),
  }),
  completions: z.looseObject({ ...commonShape, prompt: z.string() }),
} as const satisfies Readonly<Record<CompletionPath, z.ZodType>>;

/** @internal */
export type CompletionBody = z.infer<(typeof bodySchemas)[CompletionPath]>;

/** @throws ServingError `malformed-request` with the path of every invalid field. @internal */
export function readCompletionBody(path: CompletionPath, text: string): CompletionBody {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (thrown) {
    throw new ServingError('malformed-request', {
      detail: 'The body is not valid JSON.',
      cause: thrown,
    });
  }
  const result = bodySchemas[path].safeParse(value);
  if (result.success) return result.data;
  const faults = result.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  throw new ServingError('malformed-request', { detail: faults.join('; ') });
}

/** @throws ServingError `unknown-kind-of-work`. @internal */
export function findGenerationClause(
  contract: Contract,
  name: string | undefined,
  model: string,
): KindClause<GenerationKind> {
  const found = name ? findKindByName(contract, name) : findKindByModel(contract, model);
  if (found?.kind.type !== 'generation' || found.kind.model !== model) {
    throw new ServingError('unknown-kind-of-work', {
      detail: `The contract has no kind of work ${name ?? ''} with the model ${model}.`,
    });
  }
  return { kind: found.kind, path: found.path };
}

/** Derives the fields of a generation request from the body and the contract's token limit. */
export function deriveRequestFields(
  body: CompletionBody,
  { kind }: KindClause<GenerationKind>,
): Pick<GenerationRequest, 'body' | 'promptTokens' | 'prefixHash'> {
  const { stream, max_tokens: maxTokens, max_completion_tokens: maxCompletion, ...rest } = body;
  const prompt = JSON.stringify(body.prompt ?? body.messages);
  return {
    body: {
      ...rest,
      max_tokens: Math.min(maxCompletion ?? maxTokens ?? Infinity, kind.maxOutputTokens),
    },
    promptTokens: Math.ceil(prompt.length / GENERATION_OPTIONS.charactersPerToken),
    prefixHash: createHash('sha256')
      .update(prompt.slice(0, GENERATION_OPTIONS.prefixCharacters))
      .digest('hex'),
  };
}
