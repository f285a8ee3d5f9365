/**
 * Index of the published VM list by the short hash that identifies a VM in messages.
 */
import type { Vm, VmId } from '../../core';
import { hashText } from '../../decisions';
import type { Fleet, PublishedState } from '../../services';

/** @internal */
export class FleetIndex {
  private vms: ReadonlyMap<VmId, Vm> = new Map();

  /** Undefined for a hash shared by two VMs; messages then refer to neither of them. */
  private byHash: ReadonlyMap<number, VmId | undefined> = new Map();

  private isCurrent = false;

  constructor(
    private readonly fleet: Fleet,
    published: PublishedState,
  ) {
    published.onChange('vms/', () => {
      this.isCurrent = false;
    });
  }

  findVm(vmId: string): Vm | undefined {
    this.refresh();
    return this.vms.get(vmId as VmId);
  }

  resolve(idHash: number): VmId | undefined {
    this.refresh();
    return this.byHash.get(idHash);
  }

  /** The hash of a listed VM, unless it is ambiguous. */
  getHash(vmId: string): number | undefined {
    const idHash = hashText(vmId);
    return this.resolve(idHash) === vmId ? idHash : undefined;
  }

  countEndpoints(): number {
    this.refresh();
    return [...this.vms.values()].filter(({ role }) => role !== 'entry').length;
  }

  private refresh(): void {
    if (this.isCurrent) return;
    const vms = [...this.fleet.listNodes(), ...this.fleet.listEndpoints()].map(({ vm }) => vm);
    this.vms = new Map(vms.map((vm) => [vm.vmId, vm]));
    const byHash = new Map<number, VmId | undefined>();
    vms.forEach(({ vmId }) => {
      const idHash = hashText(vmId);
      byHash.set(idHash, byHash.has(idHash) ? undefined : vmId);
    });
    this.byHash = byHash;
    this.isCurrent = true;
  }
}
