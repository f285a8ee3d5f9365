/**
 * Generations that run, and those that ended and are still kept for readers.
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
    this.forgetOld(nowMs);
    this.generations.set(generation.metadata.generationId, generation);
  }

  find(generationId: string, nowMs: number): EngineGeneration | undefined {
    this.forgetOld(nowMs);
    return this.generations.get(generationId);
  }

  list(): ReadonlyArray<EngineGeneration> {
    return [...this.generations.values()];
  }

  private forgetOld(nowMs: number): void {
    this.generations.forEach(({ endedAtMs }, generationId) => {
      if (endedAtMs + this.retentionMs <= nowMs) this.generations.delete(generationId);
    });
  }
}
