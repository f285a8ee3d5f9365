/**
 * Names of a prompt's leading blocks, as the cache events use them.
 */
import { createHash } from 'node:crypto';
import type { EngineOptions } from './options';

const NAME_LENGTH = 16;

export function countPromptTokens(prompt: string, options: EngineOptions): number {
  return Math.max(1, Math.ceil(prompt.length / options.charactersPerToken));
}

/**
 * Each whole block is named by the SHA-256 of the prompt up to its end, cut to 16 hex digits, so that
 * others can compute the names from the prompt.
 */
export function hashPromptBlocks(prompt: string, options: EngineOptions): ReadonlyArray<string> {
  const blockCharacters = options.cacheBlockTokens * options.charactersPerToken;
  const hash = createHash('sha256');
  return Array.from({ length: Math.floor(prompt.length / blockCharacters) }, (_, index) => {
    hash.update(prompt.slice(index * blockCharacters, (index + 1) * blockCharacters));
    return hash.copy().digest('hex').slice(0, NAME_LENGTH);
  });
}
