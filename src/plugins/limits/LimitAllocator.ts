/**
 * Allocates one customer's limits on its home node: leases of concurrent generations per node, and
 * a token bucket for the request rate.
 */
import type { Clock, Contract } from '../../core';
import { computeLimitShare, computeLeaseSize } from '../../decisions';
import type { LeaseReply, LeaseRequest } from './leaseMessages';
import { LIMIT_OPTIONS } from './options';

interface GrantedLease {
  readonly generations: number;
  readonly leaseDeadlineMs: number;
}

interface TokenBucket {
  readonly permits: number;
  readonly refilledAtMs: number;
}

/** @internal */
export interface GrantContext {
  readonly limits: Contract['limits'];
  readonly reachableNodes: number;
  readonly listedNodes: number;
  /** Remaining time during which leases granted by an earlier home may still be in use. */
  readonly gracePeriodMs: number;
}

const MS_PER_SECOND = 1_000;

/** @internal */
export class LimitAllocator {
  private readonly leases = new Map<string, GrantedLease>();

  private bucket: TokenBucket | undefined;

  constructor(private readonly clock: Clock) {}

  /** @param holder the requesting node and its incarnation. */
  grant(holder: string, request: LeaseRequest, circumstances: GrantContext): LeaseReply {
    this.removeExpired();
    const { limits, reachableNodes, listedNodes, gracePeriodMs } = circumstances;
    const share = computeLimitShare(limits.concurrentGenerations, reachableNodes, listedNodes);
    const others = [...this.leases].filter(([id]) => id !== holder).map(([, lease]) => lease);
    const generations =
      gracePeriodMs > 0
        ? request.generationsInUse
        : computeLeaseSize(share, others, request.generationsInUse, request.generationsWanted);
    const leaseDeadlineMs = this.clock.nowMs() + LIMIT_OPTIONS.leaseMs;
    this.leases.set(holder, { generations, leaseDeadlineMs });
    const rate =
      (limits.requestsPerSecond * reachableNodes) / Math.max(reachableNodes, listedNodes);
    const permits = this.takePermits(rate, request.permitsWanted);
    const isShort = generations < request.generationsWanted;
    return {
      generations,
      permits,
      leaseMs: LIMIT_OPTIONS.leaseMs,
      retryAfterMs: Math.max(
        permits < request.permitsWanted ? MS_PER_SECOND / rate : 0,
        isShort ? Math.max(gracePeriodMs, LIMIT_OPTIONS.retryDelayMs) : 0,
      ),
    };
  }

  /** Generations leased to all nodes, for status and tests. */
  countHeld(): number {
    this.removeExpired();
    return [...this.leases.values()].reduce((sum, lease) => sum + lease.generations, 0);
  }

  isEmpty(): boolean {
    this.removeExpired();
    return this.leases.size === 0;
  }

  private removeExpired(): void {
    const nowMs = this.clock.nowMs();
    this.leases.forEach((lease, holder) => {
      if (lease.leaseDeadlineMs <= nowMs) this.leases.delete(holder);
    });
  }

  private takePermits(ratePerSecond: number, wanted: number): number {
    const nowMs = this.clock.nowMs();
    const burst = Math.max(1, ratePerSecond * LIMIT_OPTIONS.burstSeconds);
    const filled = this.bucket
      ? this.bucket.permits + ((nowMs - this.bucket.refilledAtMs) * ratePerSecond) / MS_PER_SECOND
      : Math.max(1, burst * LIMIT_OPTIONS.initialBurstShare);
    const available = Math.min(burst, filled);
    const taken = Math.min(wanted, Math.floor(available));
    this.bucket = { permits: available - taken, refilledAtMs: nowMs };
    return taken;
  }
}
