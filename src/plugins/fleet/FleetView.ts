/**
 * The fleet as seen by this node: the published VM list with the last states and reports received.
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

interface Timed<T> {
  readonly value: T;
  /** Monotonic time at which the value was true. */
  readonly asOfMs: number;
}

/** @internal */
export class FleetView extends Fleet {
  private readonly vms = new Map<string, Vm>();

  private readonly reports = new Map<EndpointId, Timed<AgedReport['report']>>();

  private readonly nodeStates = new Map<VmId, Timed<AgedNodeState>>();

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
      const asOfMs = this.clock.nowMs() - ageMs;
      if (asOfMs <= (this.reports.get(endpointId)?.asOfMs ?? -Infinity)) return;
      this.reports.set(endpointId, { value: report, asOfMs });
      hasNewer = true;
    });
    if (hasNewer) this.reportListeners.forEach((listener) => listener());
  }

  onReports(listener: () => void): void {
    this.reportListeners.add(listener);
  }

  mergeNodeStates(states: ReadonlyArray<AgedNodeState>): void {
    states.forEach((state) => {
      const asOfMs = this.clock.nowMs() - state.ageMs;
      const current = this.nodeStates.get(state.vmId);
      // Ages are estimates, so the states of one incarnation can appear in the wrong order. An
      // incarnation never leaves `draining`, so that state always wins.
      const isSameIncarnation = current?.value.incarnation === state.incarnation;
      const isDraining = isSameIncarnation && current.value.state === 'draining';
      const startsDraining = isSameIncarnation && !isDraining && state.state === 'draining';
      if (!startsDraining && asOfMs <= (current?.asOfMs ?? -Infinity)) return;
      this.nodeStates.set(state.vmId, {
        value: isDraining ? current.value : state,
        asOfMs: Math.max(asOfMs, current?.asOfMs ?? -Infinity),
      });
    });
  }

  listReports(): ReadonlyArray<AgedReport> {
    return [...this.reports].map(([endpointId, { value, asOfMs }]) => ({
      endpointId,
      report: value,
      ageMs: this.clock.nowMs() - asOfMs,
    }));
  }

  listNodeStates(): ReadonlyArray<AgedNodeState> {
    return [...this.nodeStates.values()].map(({ value, asOfMs }) => ({
      ...value,
      ageMs: this.clock.nowMs() - asOfMs,
    }));
  }

  private listVms(): ReadonlyArray<Vm> {
    return [...this.vms.values()];
  }

  private toNode(vm: Vm): FleetNode {
    const current = this.nodeStates.get(vm.vmId);
    const stateAgeMs = current ? this.clock.nowMs() - current.asOfMs : Infinity;
    const isLocal = vm.region === this.settings.region;
    const { nodeStateMaxAgeMs, remoteNodeStateMaxAgeMs } = FLEET_OPTIONS;
    const isStale = stateAgeMs > (isLocal ? nodeStateMaxAgeMs : remoteNodeStateMaxAgeMs);
    return {
      vm,
      incarnation: current?.value.incarnation,
      state: current && !isStale ? current.value.state : 'unknown',
      stateAgeMs,
    };
  }

  private toEndpoint(vm: Vm): FleetEndpoint {
    const endpointId = vm.vmId as string as EndpointId;
    const current = this.reports.get(endpointId);
    const reportAgeMs = current ? this.clock.nowMs() - current.asOfMs : Infinity;
    const listAgeMs = this.published.getConfirmedAgeMs('vm-list');
    return {
      endpointId,
      vm,
      report: current?.value,
      reportAgeMs,
      assignable: decideAssignability(
        { vm, listAgeMs, report: current?.value, reportAgeMs },
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
