/**
 * The fleet as this node knows it.
 */
import {
  vmSchema,
  type Clock,
  type EndpointId,
  type PublishedRecord,
  type Settings,
  type Vm,
  type VmId,
} from '../../core';
import { decideAssignability } from '../../decisions';
import {
  Fleet,
  type AgedNodeState,
  type AgedReport,
  type FleetEndpoint,
  type FleetNode,
  type PublishedState,
} from '../../services';
import { FLEET_OPTIONS } from './options';

const PREFIX = 'vms/';

interface Heard<T> {
  readonly value: T;
  readonly heardAtMs: number;
}

/** @internal */
export class FleetView extends Fleet {
  private readonly vms = new Map<string, Vm>();

  private readonly reports = new Map<EndpointId, Heard<AgedReport['report']>>();

  private readonly nodeStates = new Map<VmId, Heard<AgedNodeState>>();

  private readonly reportListeners = new Set<() => void>();

  constructor(
    private readonly published: PublishedState,
    private readonly clock: Clock,
    private readonly settings: Settings,
  ) {
    super();
    published.onChange(PREFIX, (record) => this.apply(record));
  }

  get self(): { readonly vmId: VmId; readonly dataCentre: string; readonly region: string } {
    const { vmId, dataCentre, region } = this.settings;
    return { vmId, dataCentre, region };
  }

  listNodes(): ReadonlyArray<FleetNode> {
    return this.listVms()
      .filter((vm) => vm.role === 'entry')
      .map((vm) => this.toNode(vm));
  }

  findNode(vmId: VmId): FleetNode | undefined {
    const vm = this.vms.get(vmId);
    return vm?.role === 'entry' ? this.toNode(vm) : undefined;
  }

  listEndpoints(): ReadonlyArray<FleetEndpoint> {
    return this.listVms()
      .filter((vm) => vm.role !== 'entry')
      .map((vm) => this.toEndpoint(vm));
  }

  findEndpoint(endpointId: EndpointId): FleetEndpoint | undefined {
    const vm = this.vms.get(endpointId);
    return vm && vm.role !== 'entry' ? this.toEndpoint(vm) : undefined;
  }

  mergeReports(reports: ReadonlyArray<AgedReport>): void {
    let hasNewer = false;
    reports.forEach(({ endpointId, report, ageMs }) => {
      const heardAtMs = this.clock.nowMs() - ageMs;
      if (heardAtMs <= (this.reports.get(endpointId)?.heardAtMs ?? -Infinity)) return;
      this.reports.set(endpointId, { value: report, heardAtMs });
      hasNewer = true;
    });
    if (hasNewer) this.reportListeners.forEach((listener) => listener());
  }

  onReports(listener: () => void): void {
    this.reportListeners.add(listener);
  }

  mergeNodeStates(states: ReadonlyArray<AgedNodeState>): void {
    states.forEach((state) => {
      const heardAtMs = this.clock.nowMs() - state.ageMs;
      const held = this.nodeStates.get(state.vmId);
      // Ages are estimates, and a drain is never taken back: it wins over what the same
      // incarnation said about the same time.
      const isSameRun = held?.value.incarnation === state.incarnation;
      const hasDrained = isSameRun && held.value.state === 'draining';
      const startsDrain = isSameRun && !hasDrained && state.state === 'draining';
      if (!startsDrain && heardAtMs <= (held?.heardAtMs ?? -Infinity)) return;
      this.nodeStates.set(state.vmId, {
        value: hasDrained ? held.value : state,
        heardAtMs: Math.max(heardAtMs, held?.heardAtMs ?? -Infinity),
      });
    });
  }

  listReports(): ReadonlyArray<AgedReport> {
    return [...this.reports].map(([endpointId, { value, heardAtMs }]) => ({
      endpointId,
      report: value,
      ageMs: this.clock.nowMs() - heardAtMs,
    }));
  }

  listNodeStates(): ReadonlyArray<AgedNodeState> {
    return [...this.nodeStates.values()].map(({ value, heardAtMs }) => ({
      ...value,
      ageMs: this.clock.nowMs() - heardAtMs,
    }));
  }

  private listVms(): ReadonlyArray<Vm> {
    return [...this.vms.values()];
  }

  private toNode(vm: Vm): FleetNode {
    const heard = this.nodeStates.get(vm.vmId);
    const stateAgeMs = heard ? this.clock.nowMs() - heard.heardAtMs : Infinity;
    const isLocal = vm.region === this.settings.region;
    const { nodeStateMaxAgeMs, remoteNodeStateMaxAgeMs } = FLEET_OPTIONS;
    const isSilent = stateAgeMs > (isLocal ? nodeStateMaxAgeMs : remoteNodeStateMaxAgeMs);
    return {
      vm,
      incarnation: heard?.value.incarnation,
      state: heard && !isSilent ? heard.value.state : 'unknown',
      stateAgeMs,
    };
  }

  private toEndpoint(vm: Vm): FleetEndpoint {
    const endpointId = vm.vmId as string as EndpointId;
    const heard = this.reports.get(endpointId);
    const reportAgeMs = heard ? this.clock.nowMs() - heard.heardAtMs : Infinity;
    const listAgeMs = this.published.getConfirmedAgeMs('vm-list');
    return {
      endpointId,
      vm,
      report: heard?.value,
      reportAgeMs,
      assignable: decideAssignability(
        { vm, listAgeMs, report: heard?.value, reportAgeMs },
        FLEET_OPTIONS.membershipMaxAgeMs,
      ),
    };
  }

  private apply(record: PublishedRecord): void {
    const vmId = record.key.slice(PREFIX.length);
    if (record.body === null) {
      this.vms.delete(vmId);
      this.reports.delete(vmId as EndpointId);
      this.nodeStates.delete(vmId as VmId);
    } else this.vms.set(vmId, vmSchema.parse(JSON.parse(record.body)));
  }
}
