/**
 * Output lengths learnt from finished generations, by customer and kind of work.
 *
 * While too little is known of the customer, the same kind over all customers is used, and for an
 * unknown kind a share of the contract's `maxOutputTokens`. A generation longer than all that was
 * observed is expected to grow by a share of its own length: the contract's share would reserve
 * tens of thousands of tokens for the last few hundred. A prediction is the upper edge of a bucket, so
 * it never falls below the quantile of what was observed.
 */
import type { CustomerId } from '../core';
import {
  BUCKET_COUNT,
  findBucket,
  HistogramPool,
  BUCKET_UPPER_BOUNDS,
  type HistogramWeights,
} from './HistogramPool';
import { LENGTH_OPTIONS, type LengthOptions } from './options';

/** The clause whose lengths are predicted. @public */
export interface LengthKey {
  readonly customer: CustomerId;
  readonly kindOfWork: string;
  readonly maxOutputTokens: number;
}

/** What a prediction rests on. @public */
export type LengthBasis = 'customer' | 'kind' | 'tail' | 'contract';

/** Lengths of one kind of work of one customer. @public */
export interface LengthForecast {
  /** Quantile of the tokens still to come after `producedTokens`; at least 0. */
  readonly predictRemainingTokens: (producedTokens: number, quantile: number) => number;

  /** Share of generations that go on for more than each number of tokens, in rising order. */
  readonly computeSurvival: (
    producedTokens: number,
    horizonsTokens: ReadonlyArray<number>,
  ) => ReadonlyArray<number>;

  readonly getBasis: (producedTokens: number) => LengthBasis;
}

/**
 * The first bucket that lies wholly above the tokens made so far. The bucket that they fall into
 * may hold shorter lengths, which would pull the quantile below what was observed.
 */
function findFirstBucketAbove(producedTokens: number): number {
  return producedTokens <= 0 ? 0 : findBucket(producedTokens) + 1;
}

/** Weight of the lengths above the tokens made so far. */
function sumAbove(weights: HistogramWeights, producedTokens: number): number {
  let sum = 0;
  for (let bucket = findFirstBucketAbove(producedTokens); bucket < BUCKET_COUNT; bucket++) {
    sum += weights[bucket] ?? 0;
  }
  return sum;
}

function findQuantile(
  weights: HistogramWeights,
  producedTokens: number,
  quantile: number,
  sum: number,
): number {
  let left = quantile * sum;
  let bucket = findFirstBucketAbove(producedTokens);
  while (bucket < BUCKET_COUNT - 1) {
    left -= weights[bucket] ?? 0;
    if (left <= 0 && (weights[bucket] ?? 0) > 0) break;
    bucket += 1;
  }
  return BUCKET_UPPER_BOUNDS[bucket] ?? producedTokens;
}

/** The quantile that an assumed length stands for; shorter ones are likelier. */
const ASSUMED_QUANTILE = 0.9;

/**
 * What is assumed where no length was observed above the tokens made so far: a share of what the
 * contract allows for an unknown kind, and of the tokens made for one that has outrun its kind.
 */
function assumeRemaining(
  { maxOutputTokens }: LengthKey,
  producedTokens: number,
  basis: LengthBasis,
): number {
  const allowedTokens = Math.max(0, maxOutputTokens - producedTokens);
  if (basis !== 'tail') return Math.max(1, allowedTokens * LENGTH_OPTIONS.defaultShare);
  return Math.max(1, Math.min(allowedTokens, producedTokens * LENGTH_OPTIONS.tailShare));
}

/** @public */
export class LengthEstimator {
  private readonly byCustomer: HistogramPool;

  private readonly byKind: HistogramPool;

  constructor(options: Partial<LengthOptions> = {}) {
    const { maxCustomerHistograms, maxKindHistograms } = { ...LENGTH_OPTIONS, ...options };
    this.byCustomer = new HistogramPool(maxCustomerHistograms);
    this.byKind = new HistogramPool(maxKindHistograms);
  }

  /** Histograms held. */
  get size(): number {
    return this.byCustomer.size + this.byKind.size;
  }

  /** Learns from a generation that came to its own end. */
  observe({ customer, kindOfWork }: LengthKey, outputTokens: number): void {
    this.byCustomer.add(`${customer}/${kindOfWork}`, outputTokens);
    this.byKind.add(kindOfWork, outputTokens);
  }

  /** A view that follows what is learnt later. */
  getForecast(key: LengthKey): LengthForecast {
    return {
      predictRemainingTokens: (producedTokens, quantile) =>
        this.predict(key, producedTokens, quantile),
      computeSurvival: (producedTokens, horizonsTokens) =>
        this.computeSurvival(key, producedTokens, horizonsTokens),
      getBasis: (producedTokens) => this.findBasis(key, producedTokens).basis,
    };
  }

  private predict(key: LengthKey, producedTokens: number, quantile: number): number {
    const allowedTokens = Math.max(0, key.maxOutputTokens - producedTokens);
    const found = this.findBasis(key, producedTokens);
    if (!found.weights) {
      const assumed = assumeRemaining(key, producedTokens, found.basis);
      return Math.ceil((assumed * Math.log(1 - quantile)) / Math.log(1 - ASSUMED_QUANTILE));
    }
    const total = findQuantile(found.weights, producedTokens, quantile, found.sum);
    return Math.min(allowedTokens, Math.max(0, total - producedTokens));
  }

  private computeSurvival(
    key: LengthKey,
    producedTokens: number,
    horizonsTokens: ReadonlyArray<number>,
  ): ReadonlyArray<number> {
    const { basis, weights, sum } = this.findBasis(key, producedTokens);
    const allowedTokens = Math.max(0, key.maxOutputTokens - producedTokens);
    if (!weights) {
      const assumed = assumeRemaining(key, producedTokens, basis);
      return horizonsTokens.map((horizon) => (1 - ASSUMED_QUANTILE) ** (horizon / assumed));
    }
    let bucket = findFirstBucketAbove(producedTokens);
    let left = sum;
    return horizonsTokens.map((horizon) => {
      for (; bucket < BUCKET_COUNT; bucket++) {
        if ((BUCKET_UPPER_BOUNDS[bucket] ?? 0) > producedTokens + horizon) break;
        left -= weights[bucket] ?? 0;
      }
      return horizon >= allowedTokens ? 0 : Math.max(0, left / sum);
    });
  }

  private findBasis(
    { customer, kindOfWork }: LengthKey,
    producedTokens: number,
  ): {
    readonly basis: LengthBasis;
    readonly weights: HistogramWeights | undefined;
    readonly sum: number;
  } {
    const own = this.byCustomer.find(`${customer}/${kindOfWork}`);
    const ownSum = own ? sumAbove(own, producedTokens) : 0;
    if (ownSum >= LENGTH_OPTIONS.minObservations) {
      return { basis: 'customer', weights: own, sum: ownSum };
    }
    const all = this.byKind.find(kindOfWork);
    if (!all || sumAbove(all, 0) < LENGTH_OPTIONS.minObservations) {
      return { basis: 'contract', weights: undefined, sum: 0 };
    }
    const allSum = sumAbove(all, producedTokens);
    if (allSum > 0) return { basis: 'kind', weights: all, sum: allSum };
    return { basis: 'tail', weights: undefined, sum: 0 };
  }
}
