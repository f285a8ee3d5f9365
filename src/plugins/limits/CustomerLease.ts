/**
 * This node's lease on part of one customer's limits, and the usage that counts against it.
 */
import type { Clock } from '../../core';
import type { LimitedWork } from '../../services';
import type { LeaseReply } from './leaseMessages';

/** @internal */
export class CustomerLease {
  private generations = 0;

  private permits = 0;

  private leaseDeadlineMs = -Infinity;

  private inUse = 0;

  private waitingGenerations = 0;

  private waitingRequests = 0;

  /** Requests admitted since the last grant; predicts how many permits to request next. */
  private admittedInLease = 0;

  private releaseListeners: ReadonlyArray<() => void> = [];

  constructor(private readonly clock: Clock) {}

  get generationsInUse(): number {
    return this.inUse;
  }

  get generationsWanted(): number {
    return this.inUse + this.waitingGenerations;
  }

  get permitsWanted(): number {
    return Math.max(this.waitingRequests, this.admittedInLease);
  }

  get remainingMs(): number {
    return this.leaseDeadlineMs - this.clock.nowMs();
  }

  isIdle(): boolean {
    return this.inUse === 0 && this.waitingRequests === 0 && this.remainingMs <= 0;
  }

  /** Counts the request as waiting until the returned function is called. */
  addWaiter(work: LimitedWork): () => void {
    const generations = work === 'generation' ? 1 : 0;
    this.waitingGenerations += generations;
    this.waitingRequests += 1;
    return () => {
      this.waitingGenerations -= generations;
      this.waitingRequests -= 1;
    };
  }

  /** @param sentAtMs when the lease request was sent; the lease time starts then. */
  applyLease(reply: LeaseReply, sentAtMs: number): void {
    this.generations = reply.generations;
    this.permits = reply.permits;
    this.leaseDeadlineMs = sentAtMs + reply.leaseMs;
    this.admittedInLease = 0;
  }

  /** Takes a slot without waiting; returns false when the lease has none free. */
  tryAcquire(work: LimitedWork): boolean {
    if (this.remainingMs <= 0 || this.permits < 1) return false;
    if (work === 'generation' && this.inUse >= this.generations) return false;
    this.permits -= 1;
    this.admittedInLease += 1;
    if (work === 'generation') this.inUse += 1;
    return true;
  }

  release(work: LimitedWork): void {
    if (work === 'generation') this.inUse -= 1;
    const listeners = this.releaseListeners;
    this.releaseListeners = [];
    listeners.forEach((notify) => notify());
  }

  /** Resolves at the next release on this node, or after `delayMs`. */
  async waitForRelease(delayMs: number, signal: AbortSignal): Promise<void> {
    const released = new AbortController();
    this.releaseListeners = [...this.releaseListeners, () => released.abort()];
    await this.clock.sleep(delayMs, AbortSignal.any([signal, released.signal]));
  }

  /** Returns the contract clause that currently refuses requests for this work. */
  findExhaustedClause(work: LimitedWork): string {
    const isOutOfSlots = work === 'generation' && this.inUse >= this.generations;
    return isOutOfSlots && this.permits > 0
      ? 'limits.concurrentGenerations'
      : 'limits.requestsPerSecond';
  }
}
