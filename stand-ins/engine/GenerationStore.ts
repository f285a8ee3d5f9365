/**
 * Running generations, and ended ones that can be read until their retention time is over.
 */
import type { EngineGeneration } from './EngineGeneration';

/** @internal */
export class GenerationStore {
  private readonly generations = new Map<string, EngineGeneration>();

  constructor(private retentionMs: number) {}

  setRetention(retentionMs: number): void {
    this.retentionMs = retentionMs;
  }

  add(generation: EngineGeneration, nowMs: number): void {
    this.evictExpired(nowMs);
    this.generations.set(generation.metadata.generationId, generation);
  }

  find(generationId: string, nowMs: number): EngineGeneration | undefined {
    this.evictExpired(nowMs);
    return this.generations.get(generationId);
  }

  list(): ReadonlyArray<EngineGeneration> {
    return [...this.generations.values()];
  }

  private evictExpired(nowMs: number): void {
    this.generations.forEach(({ endedAtMs }, generationId) => {
      if (endedAtMs + this.retentionMs <= nowMs) this.generations.delete(generationId);
    });
  }
}
