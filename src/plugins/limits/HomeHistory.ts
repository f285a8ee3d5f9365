/**
 * Recent changes of the home nodes of customers.
 *
 * A node that has just become home doesn't know the leases that the previous home granted, and must
 * wait until they have expired.
 */
import type { Clock, VmId } from '../../core';
import { pickByRendezvous } from '../../decisions';

interface MemberSet {
  readonly members: ReadonlyArray<VmId>;
  readonly validFromMs: number;
}

/** @internal */
export class HomeHistory {
  /** Newest first; always at least one entry. */
  private memberSets: ReadonlyArray<MemberSet>;

  constructor(
    private readonly clock: Clock,
    private readonly leaseMs: number,
  ) {
    this.memberSets = [{ members: [], validFromMs: clock.nowMs() }];
  }

  /** Sets the nodes that can currently be home. */
  update(members: ReadonlyArray<VmId>): void {
    const sorted = [...members].sort();
    const [current] = this.memberSets;
    if (current?.members.join() === sorted.join()) return;
    const nowMs = this.clock.nowMs();
    // A replaced set is needed until the leases granted under it have expired.
    const recent = this.memberSets.filter(
      (_, index) =>
        index === 0 || nowMs - (this.memberSets[index - 1]?.validFromMs ?? 0) < this.leaseMs,
    );
    this.memberSets = [{ members: sorted, validFromMs: nowMs }, ...recent];
  }

  getHome(customer: string): VmId | undefined {
    return pickByRendezvous(customer, this.memberSets[0]?.members ?? []);
  }

  /** Time until leases granted by an earlier home have expired; 0 if `self` was home throughout. */
  getGracePeriodMs(customer: string, self: VmId): number {
    const nowMs = this.clock.nowMs();
    return this.memberSets.reduce((longest, { members }, index) => {
      const successor = this.memberSets[index - 1];
      const endedMs = successor ? successor.validFromMs : undefined;
      if (endedMs === undefined || pickByRendezvous(customer, members) === self) return longest;
      return Math.max(longest, endedMs + this.leaseMs - nowMs);
    }, 0);
  }
}
