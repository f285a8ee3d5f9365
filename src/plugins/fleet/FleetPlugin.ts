/**
 * Membership: the VM list joined with what nodes and endpoints say of themselves.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { Fleet, PublishedState } from '../../services';
import { KnownFleet } from './KnownFleet';

/** @internal */
export class FleetPlugin extends Plugin {
  static override readonly type = 'fleet';

  override setUp(): void {
    const published = this.kernel.get(PublishedState);
    this.kernel.provide(Fleet, new KnownFleet(published, this.kernel.clock, this.kernel.settings));
  }
}

registerPlugin(FleetPlugin);
