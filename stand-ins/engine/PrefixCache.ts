/**
 * LRU cache of prompt prefixes, in blocks of a fixed number of tokens.
 *
 * A block is identified by a hash of the prompt up to its end. Every change is a numbered event.
 * Events are published with a delay and some are dropped, so a reader sees gaps in the numbers.
 */
import type { EngineOptions } from './options';
import { createRandom } from './seededRandom';

/** @public */
export interface CacheEvent {
  readonly number: number;
  readonly type: 'stored' | 'evicted';
  /** Hash that identifies the block. */
  readonly block: string;
}

interface TimedCacheEvent extends CacheEvent {
  readonly publishedAtMs: number;
}

/** @internal */
export class PrefixCache {
  /** Hashes of the cached blocks, from the least to the most recently used. */
  private readonly blocks = new Set<string>();

  private readonly events: TimedCacheEvent[] = [];

  private eventCount = 0;

  private readonly random: () => number;

  constructor(private readonly options: EngineOptions) {
    this.random = createRandom(options.seed);
  }

  /** Returns the length of the cached prefix of a prompt. */
  countCachedTokens(blocks: ReadonlyArray<string>): number {
    const missing = blocks.findIndex((block) => !this.blocks.has(block));
    return (missing < 0 ? blocks.length : missing) * this.options.cacheBlockTokens;
  }

  /** Marks all blocks of a prompt as used, and evicts the least recently used over the limit. */
  store(blocks: ReadonlyArray<string>, nowMs: number): void {
    const { cacheTotalTokens, cacheBlockTokens } = this.options;
    // The first block is marked last, to be evicted last: without it the later blocks are useless.
    [...blocks].reverse().forEach((block) => {
      if (!this.blocks.delete(block)) this.publish('stored', block, nowMs);
      this.blocks.add(block);
    });
    for (const block of this.blocks) {
      if (this.blocks.size * cacheBlockTokens <= cacheTotalTokens) return;
      this.blocks.delete(block);
      this.publish('evicted', block, nowMs);
    }
  }

  listEvents(afterNumber: number, nowMs: number): ReadonlyArray<CacheEvent> {
    return this.events
      .filter((event) => event.number > afterNumber && event.publishedAtMs <= nowMs)
      .map(({ number, type, block }) => ({ number, type, block }));
  }

  private publish(type: CacheEvent['type'], block: string, nowMs: number): void {
    this.eventCount += 1;
    if (this.random() < this.options.eventDropShare) return;
    const publishedAtMs = nowMs + this.options.eventLagMs;
    this.events.push({ number: this.eventCount, type, block, publishedAtMs });
    if (this.events.length > this.options.eventsKept) this.events.shift();
  }
}
