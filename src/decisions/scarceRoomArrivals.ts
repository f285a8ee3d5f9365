/**
 * Arrivals of callers, for tests of the decisions on waiting generations: when each comes, what it
 * asks for, and how long it waits.
 */
import type { CustomerId } from '../core';
import { SeededRandom } from './SeededRandom';

/** A kind of generation. */
export interface LoadKind {
  readonly rank: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly firstTokenMs: number;
  readonly goalMs: number;
  readonly patienceMs: number;
}

export const LONG: LoadKind = {
  rank: 2,
  promptTokens: 3_080,
  outputTokens: 752,
  firstTokenMs: 400,
  goalMs: 4_000,
  patienceMs: 16_000,
};
export const SHORT: LoadKind = {
  rank: 0,
  promptTokens: 2_550,
  outputTokens: 8,
  firstTokenMs: 330,
  goalMs: 1_500,
  patienceMs: 6_000,
};

export interface Arrival {
  readonly kind: LoadKind;
  readonly customer: CustomerId;
  readonly atMs: number;
}

/** Arrivals at an even rate with a random phase. */
export function createArrivals(
  kind: LoadKind,
  perSecond: number,
  fromMs: number,
  toMs: number,
  chooseCustomer: (random: SeededRandom) => string,
  seed: number,
): ReadonlyArray<Arrival> {
  const random = new SeededRandom(seed);
  const count = Math.round(((toMs - fromMs) / 1_000) * perSecond);
  return Array.from({ length: count }, () => ({
    kind,
    customer: chooseCustomer(random) as CustomerId,
    atMs: fromMs + random.next() * (toMs - fromMs),
  }));
}
