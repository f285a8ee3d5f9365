/**
 * Seeded pseudo-random number generator (mulberry32), for reproducible runs.
 */
const INCREMENT = 0x6d2b79f5;
const RANGE = 2 ** 32;

/** @public */
export class SeededRandom {
  private state: number;

  constructor(seed: number) {
    this.state = Math.trunc(seed);
  }

  /** Uniform in [0, 1). */
  next(): number {
    /* eslint-disable no-bitwise */
    this.state = (this.state + INCREMENT) | 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), this.state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE;
    /* eslint-enable no-bitwise */
  }

  /** Uniform integer in [0, count). */
  nextIndex(count: number): number {
    return Math.floor(this.next() * count);
  }

  /** Index with a probability proportional to its weight; uniform if all weights are 0. */
  nextWeightedIndex(weights: ReadonlyArray<number>): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    if (!(total > 0)) return this.nextIndex(weights.length);
    let remaining = this.next() * total;
    const index = weights.findIndex((weight) => {
      remaining -= weight;
      return remaining < 0;
    });
    return index < 0 ? weights.length - 1 : index;
  }
}
