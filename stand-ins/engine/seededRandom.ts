/**
 * Reproducible pseudorandom numbers.
 */
/* eslint-disable no-bitwise -- both algorithms are defined by operations on 32 bits */

const UINT32_RANGE = 2 ** 32;

/** Hashes a text with 32-bit FNV-1a. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash >>> 0;
}

/** Creates a Mulberry32 generator of numbers from 0 (inclusive) to 1 (exclusive). */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  };
}

/** Draws a log-normally distributed number by the Box-Muller transform. */
export function drawLogNormal(random: () => number, median: number, sigma: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * random()));
}
