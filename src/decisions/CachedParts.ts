/**
 * Shared parts of prompts that engines are known to have cached, by the requests of this node.
 *
 * An engine caches a part once it has prefilled it, and keeps it at least while a request with it
 * runs. A part counts only if all parts before it are cached too.
 */
import { EvictingMap, type EndpointId, type PromptPart, type PromptPartId } from '../core';

export const CACHED_PART_OPTIONS = {
  /** Time since a request with a part was at an engine after which it may have been evicted there. */
  keptForMs: 2_000,
  /** Parts remembered for one engine. */
  maxParts: 256,
} as const;

/** @public */
export class CachedParts {
  /** Times of the last use; least recently used parts first. */
  private readonly usedAtMs = new Map<EndpointId, EvictingMap<PromptPartId, number>>();

  record(endpointId: EndpointId, parts: ReadonlyArray<PromptPart>, nowMs: number): void {
    const { maxParts } = CACHED_PART_OPTIONS;
    const used = this.usedAtMs.get(endpointId) ?? new EvictingMap<PromptPartId, number>(maxParts);
    this.usedAtMs.set(endpointId, used);
    parts.forEach(({ id }) => used.setNewest(id, nowMs));
  }

  /** Returns the tokens at the beginning of a prompt that the engine needn't prefill. */
  countTokens(endpointId: EndpointId, parts: ReadonlyArray<PromptPart>, nowMs: number): number {
    const used = this.usedAtMs.get(endpointId);
    const oldestMs = nowMs - CACHED_PART_OPTIONS.keptForMs;
    const isCached = ({ id }: PromptPart): boolean => (used?.get(id) ?? -Infinity) >= oldestMs;
    const missing = parts.findIndex((part) => !isCached(part));
    const cached = missing < 0 ? parts : parts.slice(0, missing);
    return cached.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Forgets an engine that has left or restarted. */
  forget(endpointId: EndpointId): void {
    this.usedAtMs.delete(endpointId);
  }
}
