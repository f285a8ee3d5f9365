/**
 * Reports of endpoints: two nodes poll each endpoint, gossip brings the reports to the others.
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

  private readonly polls = new Map<VmId, EndpointPoller>();

  /** Serving nodes at the last choice; undefined after a change of the VM list. */
  private chosenAmong: string | undefined;

  override async start(): Promise<void> {
    this.kernel.get(PublishedState).onChange('vms/', () => {
      this.chosenAmong = undefined;
    });
    this.kernel.runTask('choose polled endpoints', async (signal) => {
      while (!signal.aborted) {
        this.choose();
        await this.kernel.clock.sleep(REPORT_OPTIONS.pollerCheckIntervalMs, signal);
      }
    });
  }

  /** The choice costs 1,200 hash rankings at full size, so it is made only after a change. */
  private choose(): void {
    const nodes = this.kernel
      .get(Fleet)
      .listNodes()
      .map(({ vm, state }) => ({ ...vm, isServing: state === 'serving' }));
    const serving = nodes.filter(({ isServing }) => isServing).map(({ vmId }) => vmId);
    const among = serving.join(' ');
    if (among === this.chosenAmong) return;
    this.chosenAmong = among;
    this.matchPolls(this.listDuties(nodes));
  }

  private listDuties(nodes: ReadonlyArray<PollerCandidate>): ReadonlyArray<Vm> {
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

  private matchPolls(duties: ReadonlyArray<Vm>): void {
    const wanted = new Map(duties.map((vm) => [vm.vmId, vm]));
    [...this.polls]
      .filter(([vmId, poll]) => {
        const vm = wanted.get(vmId);
        return !vm || !poll.matches(vm);
      })
      .forEach(([vmId, poll]) => {
        poll.stop();
        this.polls.delete(vmId);
      });
    duties
      .filter(({ vmId }) => !this.polls.has(vmId))
      .forEach((vm) => {
        const poll = new EndpointPoller(this.kernel, vm);
        this.polls.set(vm.vmId, poll);
        this.kernel.runTask(`poll ${vm.vmId}`, async (signal) => poll.run(signal));
      });
  }
}

registerPlugin(ReportsPlugin);
