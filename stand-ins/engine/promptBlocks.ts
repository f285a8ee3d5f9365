/**
 * Hashes of a prompt's leading blocks, as in the cache events.
 */
import { createHash } from 'node:crypto';
import type { EngineOptions } from './options';

const HASH_LENGTH = 16;

export function countPromptTokens(prompt: string, options: EngineOptions): number {
  return Math.max(1, Math.ceil(prompt.length / options.charactersPerToken));
}

/**
 * Returns the hash of each complete block: the SHA-256 of the prompt up to the end of the block,
 * truncated to 16 hex digits. A client can compute the same hashes from the prompt.
 */
export function hashPromptBlocks(prompt: string, options: EngineOptions): ReadonlyArray<string> {
  const blockCharacters = options.cacheBlockTokens * options.charactersPerToken;
  const hash = createHash('sha256');
  return Array.from({ length: Math.floor(prompt.length / blockCharacters) }, (_, index) => {
    hash.update(prompt.slice(index * blockCharacters, (index + 1) * blockCharacters));
    return hash.copy().digest('hex').slice(0, HASH_LENGTH);
  });
}
