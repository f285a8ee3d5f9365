/**
 * The home node's account of a customer's limits: which node holds how much, until when.
 */
import type { Clock, Contract } from '../../core';
import { computeLimitShare, computeLeaseSize } from '../../decisions';
import type { LeaseReply, LeaseRequest } from './leaseMessages';
import { LIMIT_OPTIONS } from './options';

interface GrantedSlice {
  readonly generations: number;
  readonly leaseDeadlineMs: number;
}

interface Bucket {
  readonly permits: number;
  readonly filledAtMs: number;
}

/** @internal */
export interface GrantContext {
  readonly limits: Contract['limits'];
  readonly reachableNodes: number;
  readonly listedNodes: number;
  /** Time during which slices of an earlier home may still be held. */
  readonly gracePeriodMs: number;
}

const MS_PER_SECOND = 1_000;

/** @internal */
export class LimitAllocator {
  private readonly slices = new Map<string, GrantedSlice>();

  private bucket: Bucket | undefined;

  constructor(private readonly clock: Clock) {}

  /** @param holder the asking node and its incarnation. */
  grant(holder: string, request: LeaseRequest, circumstances: GrantContext): LeaseReply {
    this.dropEnded();
    const { limits, reachableNodes, listedNodes, gracePeriodMs } = circumstances;
    const share = computeLimitShare(limits.concurrentGenerations, reachableNodes, listedNodes);
    const others = [...this.slices].filter(([id]) => id !== holder).map(([, slice]) => slice);
    const generations =
      gracePeriodMs > 0
        ? request.generationsInUse
        : computeLeaseSize(share, others, request.generationsInUse, request.generationsWanted);
    const leaseDeadlineMs = this.clock.nowMs() + LIMIT_OPTIONS.leaseMs;
    this.slices.set(holder, { generations, leaseDeadlineMs });
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

  /** Generations held by all nodes, for status and tests. */
  countHeld(): number {
    this.dropEnded();
    return [...this.slices.values()].reduce((sum, slice) => sum + slice.generations, 0);
  }

  isEmpty(): boolean {
    this.dropEnded();
    return this.slices.size === 0;
  }

  private dropEnded(): void {
    const nowMs = this.clock.nowMs();
    this.slices.forEach((slice, holder) => {
      if (slice.leaseDeadlineMs <= nowMs) this.slices.delete(holder);
    });
  }

  private takePermits(ratePerSecond: number, wanted: number): number {
    const nowMs = this.clock.nowMs();
    const burst = Math.max(1, ratePerSecond * LIMIT_OPTIONS.burstSeconds);
    const filled = this.bucket
      ? this.bucket.permits + ((nowMs - this.bucket.filledAtMs) * ratePerSecond) / MS_PER_SECOND
      : Math.max(1, burst * LIMIT_OPTIONS.initialBurstShare);
    const available = Math.min(burst, filled);
    const taken = Math.min(wanted, Math.floor(available));
    this.bucket = { permits: available - taken, filledAtMs: nowMs };
    return taken;
  }
}
