/**
 * Enforces customers' limits across the fleet without shared state: each customer has a home node
 * that leases parts of the limits to the nodes that serve the customer.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { LimitLeases, PeerHandler } from '../../services';
import { LeasedLimits } from './LeasedLimits';
import { LimitHome } from './LimitHome';
import { LimitLeaseHandler } from './LimitLeaseHandler';
import { LIMIT_OPTIONS } from './options';

/** @internal */
export class LimitsPlugin extends Plugin {
  static override readonly type = 'limits';

  private readonly home = new LimitHome(this.kernel);

  private readonly leases = new LeasedLimits(this.kernel, this.home);

  override setUp(): void {
    this.kernel.provide(LimitLeases, this.leases);
    this.kernel.provide(PeerHandler, new LimitLeaseHandler(this.home));
  }

  override async start(): Promise<void> {
    this.kernel.runTask('renew limits', async (signal) => {
      while (!signal.aborted) {
        this.home.updateMembers();
        this.home.dropIdle();
        await this.leases.renewRunning();
        await this.kernel.clock.sleep(LIMIT_OPTIONS.renewCheckMs, signal);
      }
    });
  }
}

registerPlugin(LimitsPlugin);
