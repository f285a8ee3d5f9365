/**
 * Account of the engine memory that customers and ranks have used, over time and with decay.
 *
 * Memory over time is the scarce resource: a long generation costs the others more than many short
 * ones. Old use decays, so that a burst counts against its customer for a while and not for ever.
 * The configuration states no weights, so all customers of a rank have equal shares.
 */
import type { CustomerId } from '../core';

export const FAIR_SHARE_OPTIONS = {
  /** Time in which the weight of past use halves. */
  halfLifeMs: 15_000,
  /** Multiple of an equal share above which a customer leaves room for the others. */
  aboveShareRatio: 2,
  /** Use, as a share of the largest account, below which a customer is forgotten. */
  minAccountShare: 0.001,
} as const;

/** Memory in use, in tokens, multiplied by the time of use. */
type TokenMs = number;

/** What an amount of memory over time is charged to. @public */
export interface MemoryUse {
  /** Undefined for callers without a key, who share one account. */
  readonly customer: CustomerId | undefined;
  readonly rank: number;
  readonly tokenMs: TokenMs;
}

/** @public */
export interface CustomerShare {
  readonly customer: CustomerId | undefined;
  /** Share of all recent use. */
  readonly share: number;
}

/** Read-only view of the account, as of one moment. @public */
export abstract class RecentUse {
  /** Returns the recent memory over time, in tokens times ms. */
  abstract getCustomerUse(customer: CustomerId | undefined): number;

  /** Whether a customer has used well above an equal share. */
  abstract isAboveShare(customer: CustomerId | undefined): boolean;

  abstract getRankShare(rank: number): number;
}

/** Estimates the memory over time of a run that grows evenly until it ends. */
export function estimateTokenMs(
  knownTokens: number,
  growthTokens: number,
  durationMs: number,
): TokenMs {
  return (knownTokens + growthTokens / 2) * durationMs;
}

/** Sums that decay together. */
class DecayingSums<K> {
  private readonly sums = new Map<K, TokenMs>();

  private updatedAtMs = 0;

  add(key: K, amount: TokenMs, nowMs: number): void {
    this.decay(nowMs);
    this.sums.set(key, this.get(key) + amount);
  }

  get(key: K): TokenMs {
    return this.sums.get(key) ?? 0;
  }

  getShare(key: K): number {
    const total = this.getTotal();
    return total === 0 ? 0 : this.get(key) / total;
  }

  listKeys(): ReadonlyArray<K> {
    return [...this.sums.keys()];
  }

  private getTotal(): TokenMs {
    return [...this.sums.values()].reduce((sum, use) => sum + use, 0);
  }

  private decay(nowMs: number): void {
    const { halfLifeMs, minAccountShare } = FAIR_SHARE_OPTIONS;
    const factor = 0.5 ** (Math.max(0, nowMs - this.updatedAtMs) / halfLifeMs);
    this.updatedAtMs = nowMs;
    const smallest = Math.max(...this.sums.values()) * factor * minAccountShare;
    [...this.sums].forEach(([key, use]) => {
      if (use * factor > smallest) this.sums.set(key, use * factor);
      else this.sums.delete(key);
    });
  }
}

/** @public */
export class FairShares extends RecentUse {
  private readonly byCustomer = new DecayingSums<CustomerId | undefined>();

  private readonly byRank = new DecayingSums<number>();

  charge({ customer, rank, tokenMs }: MemoryUse, nowMs: number): void {
    this.byCustomer.add(customer, tokenMs, nowMs);
    this.byRank.add(rank, tokenMs, nowMs);
  }

  override getCustomerUse(customer: CustomerId | undefined): TokenMs {
    return this.byCustomer.get(customer);
  }

  override isAboveShare(customer: CustomerId | undefined): boolean {
    const customers = this.byCustomer.listKeys().length;
    return this.byCustomer.getShare(customer) * customers > FAIR_SHARE_OPTIONS.aboveShareRatio;
  }

  override getRankShare(rank: number): number {
    return this.byRank.getShare(rank);
  }

  /** Returns the customers with the largest shares, largest first. */
  listLargest(count: number): ReadonlyArray<CustomerShare> {
    return this.byCustomer
      .listKeys()
      .map((customer) => ({ customer, share: this.byCustomer.getShare(customer) }))
      .sort((a, b) => b.share - a.share)
      .slice(0, count);
  }
}
