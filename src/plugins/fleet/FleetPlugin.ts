/**
 * Membership: combines the VM list with the states and reports of nodes and endpoints.
 */
import type { VmId } from '../../core';
import { Plugin, registerPlugin } from '../../kernel';
import { Fleet, PeerDirectory, PublishedState } from '../../services';
import { FleetView } from './FleetView';

/** Finds the addresses of nodes in the VM list. */
class FleetPeerDirectory extends PeerDirectory {
  constructor(private readonly fleet: Fleet) {
    super();
  }

  findPeerAddress(vmId: VmId): string | undefined {
    return this.fleet.findNode(vmId)?.vm.peerAddress;
  }
}

/** @internal */
export class FleetPlugin extends Plugin {
  static override readonly type = 'fleet';

  override setUp(): void {
    const published = this.kernel.get(PublishedState);
    const fleet = new FleetView(published, this.kernel.clock, this.kernel.settings);
    this.kernel.provide(Fleet, fleet);
    this.kernel.provide(PeerDirectory, new FleetPeerDirectory(fleet));
  }
}

registerPlugin(FleetPlugin);
