/**
 * The current neighbours of this node, with substitutes for those that don't answer.
 */
import type { VmId } from '../../core';
import { chooseNeighbours, rankByRendezvous } from '../../decisions';
import type { Fleet } from '../../services';
import { GOSSIP_OPTIONS } from './options';

/** @internal */
export class NeighbourSet {
  private readonly failures = new Map<VmId, number>();

  constructor(private readonly fleet: Fleet) {}

  recordResult(vmId: VmId, isAnswered: boolean): void {
    if (isAnswered) this.failures.delete(vmId);
    else this.failures.set(vmId, (this.failures.get(vmId) ?? 0) + 1);
  }

  /** Lists failing neighbours too, so that their recovery is noticed. */
  list(): ReadonlyArray<VmId> {
    const { self } = this.fleet;
    const vms = this.fleet.listNodes().map(({ vm }) => vm);
    const neighbours = chooseNeighbours(self, vms, GOSSIP_OPTIONS).map(({ vmId }) => vmId);
    const failing = neighbours.filter((vmId) => this.isFailing(vmId));
    const others = vms.filter(
      ({ vmId, region }) =>
        vmId !== self.vmId &&
        region === self.region &&
        !neighbours.includes(vmId) &&
        !this.isFailing(vmId),
    );
    const substitutes = rankByRendezvous(`substitutes of ${self.vmId}`, others, ({ vmId }) => vmId)
      .slice(0, failing.length)
      .map(({ vmId }) => vmId);
    return [...neighbours, ...substitutes];
  }

  private isFailing(vmId: VmId): boolean {
    return (this.failures.get(vmId) ?? 0) >= GOSSIP_OPTIONS.substituteAfterFailures;
  }
}
