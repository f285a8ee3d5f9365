/**
 * Predicts output lengths from finished generations, by customer and kind of work.
 *
 * With too few observations of the customer it falls back to the kind over all customers, and for
 * an unknown kind to a share of the contract's `maxOutputTokens`. A generation longer than all
 * observed ones is expected to grow by a share of its own length: a share of the contract's maximum
 * would reserve tens of thousands of tokens for the last few hundred. A prediction is the upper
 * bound of a bucket, so it is never below the observed quantile.
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

/** Customer and contract clause whose lengths are predicted. @public */
export interface LengthKey {
  readonly customer: CustomerId;
  readonly kindOfWork: string;
  readonly maxOutputTokens: number;
}

/** Data that a prediction is based on. @public */
export type LengthBasis = 'customer' | 'kind' | 'tail' | 'contract';

/** Lengths of one kind of work of one customer. @public */
export interface LengthForecast {
  /** Quantile of the tokens remaining after `producedTokens`; at least 0. */
  readonly predictRemainingTokens: (producedTokens: number, quantile: number) => number;

  /** Share of generations that exceed each number of further tokens, given in ascending order. */
  readonly computeSurvival: (
    producedTokens: number,
    horizonsTokens: ReadonlyArray<number>,
  ) => ReadonlyArray<number>;

  readonly getBasis: (producedTokens: number) => LengthBasis;
}

/**
 * Returns the first bucket that lies wholly above `producedTokens`. The bucket that contains them
 * may hold shorter lengths, which would lower the quantile below the observed one.
 */
function findFirstBucketAbove(producedTokens: number): number {
  return producedTokens <= 0 ? 0 : findBucket(producedTokens) + 1;
}

/** Total weight of the lengths above `producedTokens`. */
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
  let remaining = quantile * sum;
  let bucket = findFirstBucketAbove(producedTokens);
  while (bucket < BUCKET_COUNT - 1) {
    remaining -= weights[bucket] ?? 0;
    if (remaining <= 0 && (weights[bucket] ?? 0) > 0) break;
    bucket += 1;
  }
  return BUCKET_UPPER_BOUNDS[bucket] ?? producedTokens;
}

/** Quantile that an assumed length represents, as most generations are shorter. */
const ASSUMED_QUANTILE = 0.9;

/**
 * Remaining tokens where no length above `producedTokens` was observed: for an unknown kind a share
 * of what the contract allows, for a generation longer than all of its kind a share of its length.
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

/** Names of customers have no control characters, so no two pairs have the same key. */
function getCustomerKey(customer: string, kindOfWork: string): string {
  return `${customer}\n${kindOfWork}`;
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

  /** Number of histograms in memory. */
  get size(): number {
    return this.byCustomer.size + this.byKind.size;
  }

  /** Adds the length of a generation that ran to completion. */
  observe({ customer, kindOfWork }: LengthKey, outputTokens: number): void {
    this.byCustomer.add(getCustomerKey(customer, kindOfWork), outputTokens);
    this.byKind.add(kindOfWork, outputTokens);
  }

  /** Returns a live view, which reflects later observations. */
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
    let remaining = sum;
    return horizonsTokens.map((horizon) => {
      for (; bucket < BUCKET_COUNT; bucket++) {
        if ((BUCKET_UPPER_BOUNDS[bucket] ?? 0) > producedTokens + horizon) break;
        remaining -= weights[bucket] ?? 0;
      }
      return horizon >= allowedTokens ? 0 : Math.max(0, remaining / sum);
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
    const own = this.byCustomer.find(getCustomerKey(customer, kindOfWork));
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
