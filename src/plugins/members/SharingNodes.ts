/**
 * The number of nodes among which a budget of the fleet is divided.
 *
 * The sum of all shares must not exceed the budget while nodes are lost, cut off or just started, so
 * a node divides by too many rather than by too few.
 */
import type { Kernel } from '../../kernel';
import { SeedAddresses } from '../../services';
import { MEMBER_OPTIONS } from './options';

interface FleetSize {
  readonly nodes: number;
  readonly measuredAtMs: number;
}

/** @internal */
export class SharingNodes {
  private readonly startedAtMs: number;

  private largest: FleetSize = { nodes: 1, measuredAtMs: -Infinity };

  constructor(private readonly kernel: Kernel) {
    this.startedAtMs = kernel.clock.nowMs();
  }

  /**
   * Returns the largest number of nodes known lately; infinite while this node may know too few.
   * @param nodes known now, including this one.
   */
  count(nodes: number): number {
    const nowMs = this.kernel.clock.nowMs();
    const isOutdated = nowMs - this.largest.measuredAtMs > MEMBER_OPTIONS.sharingRetentionMs;
    if (nodes >= this.largest.nodes || isOutdated) this.largest = { nodes, measuredAtMs: nowMs };
    if (!this.hasOtherSeeds()) return this.largest.nodes;
    const isSettled = nowMs - this.startedAtMs > MEMBER_OPTIONS.sharingSettleMs;
    return isSettled && this.largest.nodes > 1 ? this.largest.nodes : Infinity;
  }

  private hasOtherSeeds(): boolean {
    const { peerAddress } = this.kernel.settings;
    return this.kernel
      .getAll(SeedAddresses)
      .flatMap((seeds) => seeds.listAddresses())
      .some((address) => address !== peerAddress);
  }
}
