/**
 * Queue of sequences, sorted by priority and then by arrival.
 */
import type { EngineSequence } from './EngineSequence';

/** @internal */
export class SequenceQueue implements Iterable<EngineSequence> {
  private readonly sequences: EngineSequence[] = [];

  get size(): number {
    return this.sequences.length;
  }

  get first(): EngineSequence | undefined {
    return this.sequences[0];
  }

  get last(): EngineSequence | undefined {
    return this.sequences.at(-1);
  }

  add(sequence: EngineSequence): void {
    const index = this.sequences.findIndex((other) => sequence.precedes(other));
    this.sequences.splice(index < 0 ? this.sequences.length : index, 0, sequence);
  }

  /** Returns whether the sequence was in the queue. */
  remove(sequence: EngineSequence): boolean {
    const index = this.sequences.indexOf(sequence);
    if (index >= 0) this.sequences.splice(index, 1);
    return index >= 0;
  }

  has(sequence: EngineSequence): boolean {
    return this.sequences.includes(sequence);
  }

  [Symbol.iterator](): Iterator<EngineSequence> {
    return this.sequences[Symbol.iterator]();
  }
}
