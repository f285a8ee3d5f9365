/**
 * Reports of endpoints: two nodes poll each endpoint, and gossip sends the reports to the others.
 */
import type { Vm, VmId } from '../../core';
import { chooseReporters, type PollerCandidate } from '../../decisions';
import { Plugin, registerPlugin } from '../../kernel';
import { Fleet, PublishedState } from '../../services';
import { EndpointPoller } from './EndpointPoller';
import { REPORT_OPTIONS } from './options';

/** @internal */
export class ReportsPlugin extends Plugin {
  static override readonly type = 'reports';

  private readonly pollers = new Map<VmId, EndpointPoller>();

  /** Serving nodes at the last assignment; undefined after a change of the VM list. */
  private assignedAmong: string | undefined;

  override async start(): Promise<void> {
    this.kernel.get(PublishedState).onChange('vms/', () => {
      this.assignedAmong = undefined;
    });
    this.kernel.runTask('choose polled endpoints', async (signal) => {
      while (!signal.aborted) {
        this.updatePollers();
        await this.kernel.clock.sleep(REPORT_OPTIONS.pollerCheckIntervalMs, signal);
      }
    });
  }

  /** Takes 1,200 hash rankings at full fleet size, so assigns endpoints only after a change. */
  private updatePollers(): void {
    const nodes = this.kernel
      .get(Fleet)
      .listNodes()
      .map(({ vm, state }) => ({ ...vm, isServing: state === 'serving' }));
    const serving = nodes.filter(({ isServing }) => isServing).map(({ vmId }) => vmId);
    const servingIds = serving.join(' ');
    if (servingIds === this.assignedAmong) return;
    this.assignedAmong = servingIds;
    this.reconcilePollers(this.listAssigned(nodes));
  }

  private listAssigned(nodes: ReadonlyArray<PollerCandidate>): ReadonlyArray<Vm> {
    const fleet = this.kernel.get(Fleet);
    const { vmId } = fleet.self;
    return fleet
      .listEndpoints()
      .filter(({ endpointId, vm }) =>
        chooseReporters(
          { endpointId, dataCentre: vm.dataCentre, region: vm.region },
          nodes,
          REPORT_OPTIONS.pollersPerEndpoint,
        ).includes(vmId),
      )
      .map(({ vm }) => vm);
  }

  private reconcilePollers(assigned: ReadonlyArray<Vm>): void {
    const wanted = new Map(assigned.map((vm) => [vm.vmId, vm]));
    [...this.pollers]
      .filter(([vmId, poller]) => {
        const vm = wanted.get(vmId);
        return !vm || !poller.matches(vm);
      })
      .forEach(([vmId, poller]) => {
        poller.stop();
        this.pollers.delete(vmId);
      });
    assigned
      .filter(({ vmId }) => !this.pollers.has(vmId))
      .forEach((vm) => {
        const poller = new EndpointPoller(this.kernel, vm);
        this.pollers.set(vm.vmId, poller);
        this.kernel.runTask(`poll ${vm.vmId}`, async (signal) => poller.run(signal));
      });
  }
}

registerPlugin(ReportsPlugin);
