/** Fleet view of one simulated node: a fixed list of VMs and delayed reports. */
import type { EndpointId, EndpointReport, Vm } from '../src/core';
import { Fleet, type AgedReport, type FleetEndpoint, type FleetNode } from '../src/services';
import type { EventLoop } from './EventLoop';

interface TimedReport {
  readonly report: EndpointReport;
  readonly takenAtMs: number;
}

export interface BenchFleetParameters {
  readonly loop: EventLoop;
  readonly self: Fleet['self'];
  readonly engines: ReadonlyArray<Vm>;
  readonly nodes: ReadonlyArray<FleetNode>;
}

export class BenchFleet extends Fleet {
  private readonly reports = new Map<EndpointId, TimedReport>();

  private readonly removed = new Set<EndpointId>();

  private readonly listeners = new Set<() => void>();

  constructor(private readonly parameters: BenchFleetParameters) {
    super();
  }

  get self(): Fleet['self'] {
    return this.parameters.self;
  }

  listNodes(): ReadonlyArray<FleetNode> {
    return this.parameters.nodes;
  }

  findNode(): undefined {
    return undefined;
  }

  listEndpoints(): ReadonlyArray<FleetEndpoint> {
    return this.parameters.engines.map((vm) => this.toEndpoint(vm));
  }

  findEndpoint(endpointId: EndpointId): FleetEndpoint | undefined {
    const vm = this.parameters.engines.find(({ vmId }) => (vmId as string) === endpointId);
    return vm && this.toEndpoint(vm);
  }

  mergeReports(reports: ReadonlyArray<AgedReport>): void {
    reports.forEach(({ endpointId, report, ageMs }) => {
      this.reports.set(endpointId, { report, takenAtMs: this.parameters.loop.nowMs - ageMs });
    });
    this.listeners.forEach((listener) => listener());
  }

  mergeNodeStates(): void {}

  onReports(listener: () => void): void {
    this.listeners.add(listener);
  }

  listReports(): ReadonlyArray<AgedReport> {
    return [];
  }

  listNodeStates(): [] {
    return [];
  }

  /** Simulates that the VM list no longer contains the engine. */
  removeEngine(endpointId: EndpointId): void {
    this.removed.add(endpointId);
    this.listeners.forEach((listener) => listener());
  }

  private toEndpoint(vm: Vm): FleetEndpoint {
    const endpointId = vm.vmId as string as EndpointId;
    const received = this.reports.get(endpointId);
    return {
      endpointId,
      vm,
      report: received?.report,
      reportAgeMs: received ? this.parameters.loop.nowMs - received.takenAtMs : Infinity,
      assignable: this.removed.has(endpointId)
        ? { allowed: false, reason: 'it is no longer in the VM list' }
        : { allowed: true },
    };
  }
}
