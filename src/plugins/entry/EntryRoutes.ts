/**
 * HTTP route that lists the addresses for a caller to use: `GET /v1/entry?dataCentre=`.
 */
import type { Vm } from '../../core';
import { orderEntries } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Fleet, ReadinessCheck, type FleetNode } from '../../services';
import { CallerRoutes, type CallerApp } from '../../wire';
import { ENTRY_OPTIONS } from './options';

const MS_PER_SECOND = 1_000;

/** @public */
export interface EntryResponse {
  readonly addresses: ReadonlyArray<{
    readonly url: string;
    readonly dataCentre: string;
    readonly region: string;
  }>;
  readonly keepForMs: number;
}

/** @internal */
export class EntryRoutes extends CallerRoutes {
  constructor(private readonly kernel: Kernel) {
    super();
  }

  mount(app: CallerApp): void {
    app.get('/v1/entry', (context) => {
      const response = this.createResponse(
        context.req.query('dataCentre'),
        context.get('inForce').contract.customer,
      );
      const maxAgeSeconds = Math.floor(response.keepForMs / MS_PER_SECOND);
      return context.json(response, 200, { 'cache-control': `private, max-age=${maxAgeSeconds}` });
    });
  }

  /** Assumes that a caller without a known data centre is near this node. */
  private createResponse(dataCentre: string | undefined, salt: string): EntryResponse {
    const fleet = this.kernel.get(Fleet);
    const { self } = fleet;
    const nodes = fleet.listNodes();
    const known = [...nodes, ...fleet.listEndpoints()].map(({ vm }) => vm);
    const location = known.find((vm) => vm.dataCentre === dataCentre) ?? self;
    const candidates = nodes.map((node) => ({ vm: node.vm, isServing: this.isServing(node) }));
    const addresses = orderEntries(candidates, location, salt)
      .slice(0, ENTRY_OPTIONS.maxAddresses)
      .map(({ url, dataCentre: nodeDataCentre, region }: Vm) => ({
        url,
        dataCentre: nodeDataCentre,
        region,
      }));
    return { addresses, keepForMs: ENTRY_OPTIONS.maxAgeMs };
  }

  private isServing({ vm, state }: FleetNode): boolean {
    if (vm.vmId !== this.kernel.settings.vmId) return state === 'serving';
    const isReady = this.kernel
      .getAll(ReadinessCheck)
      .every((check) => check.getNotReadyReason() === undefined);
    return this.kernel.state === 'serving' && isReady;
  }
}
