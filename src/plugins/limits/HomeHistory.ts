/**
 * Which node was home to a customer lately.
 *
 * A node that has just become home doesn't know the slices that the last home granted; it has to
 * wait until they have ended.
 */
import type { Clock, VmId } from '../../core';
import { pickByRendezvous } from '../../decisions';

interface NodeSet {
  readonly members: ReadonlyArray<VmId>;
  readonly sinceMs: number;
}

/** @internal */
export class HomeHistory {
  /** Newest first; always at least one entry. */
  private sets: ReadonlyArray<NodeSet>;

  constructor(
    private readonly clock: Clock,
    private readonly keptMs: number,
  ) {
    this.sets = [{ members: [], sinceMs: clock.nowMs() }];
  }

  /** Notes the nodes that can be home now. */
  update(members: ReadonlyArray<VmId>): void {
    const sorted = [...members].sort();
    const [current] = this.sets;
    if (current?.members.join() === sorted.join()) return;
    const nowMs = this.clock.nowMs();
    // A set still matters while its successor is younger than the kept time.
    const recent = this.sets.filter(
      (_, index) => index === 0 || nowMs - (this.sets[index - 1]?.sinceMs ?? 0) < this.keptMs,
    );
    this.sets = [{ members: sorted, sinceMs: nowMs }, ...recent];
  }

  getHome(customer: string): VmId | undefined {
    return pickByRendezvous(customer, this.sets[0]?.members ?? []);
  }

  /** Time until slices granted by an earlier home have ended; 0 when `self` was home all along. */
  getGracePeriodMs(customer: string, self: VmId): number {
    const nowMs = this.clock.nowMs();
    return this.sets.reduce((longest, { members }, index) => {
      const successor = this.sets[index - 1];
      const endedMs = successor ? successor.sinceMs : undefined;
      if (endedMs === undefined || pickByRendezvous(customer, members) === self) return longest;
      return Math.max(longest, endedMs + this.keptMs - nowMs);
    }, 0);
  }
}
