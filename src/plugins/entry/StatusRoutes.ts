/**
 * HTTP route that reports this node's view of the fleet to an operator: `GET /v1/status`.
 */
import type { Hono } from 'hono';
import type { PublishedSourceName } from '../../core';
import type { Kernel } from '../../kernel';
import {
  ContractStore,
  ControlTraffic,
  Fleet,
  PublishedState,
  SourceProgress,
} from '../../services';
import { OperatorRoutes } from '../../wire';

const SOURCES: ReadonlyArray<{ readonly source: PublishedSourceName; readonly prefix: string }> = [
  { source: 'configuration', prefix: 'contracts/' },
  { source: 'vm-list', prefix: 'vms/' },
];

/** Returns null for an unknown age, which is infinite, because JSON cannot represent infinity. */
const toJsonAge = (ageMs: number): number | null =>
  Number.isFinite(ageMs) ? Math.round(ageMs) : null;

/** @internal */
export class StatusRoutes extends OperatorRoutes {
  constructor(private readonly kernel: Kernel) {
    super();
  }

  mount(app: Hono): void {
    app.get('/v1/status', (context) => context.json(this.createStatus()));
  }

  private createStatus(): object {
    const { settings, incarnation, state } = this.kernel;
    const { vmId, dataCentre, region } = settings;
    const contracts = this.kernel.get(ContractStore);
    return {
      self: { vmId, dataCentre, region, incarnation, state },
      nodes: this.listNodes(),
      endpoints: this.listEndpoints(),
      published: SOURCES.map(({ source, prefix }) => this.describeSource(source, prefix)),
      contracts: { inForce: contracts.countInForce(), rejected: contracts.listRejected() },
      controlTraffic: this.kernel
        .getAll(ControlTraffic)
        .map((traffic) => Object.fromEntries(traffic.listByType())),
    };
  }

  private listNodes(): ReadonlyArray<object> {
    return this.kernel
      .get(Fleet)
      .listNodes()
      .map(({ vm, state, incarnation, stateAgeMs }) => ({
        vmId: vm.vmId,
        url: vm.url,
        dataCentre: vm.dataCentre,
        region: vm.region,
        listed: vm.state,
        state,
        incarnation: incarnation ?? null,
        heardAgeMs: toJsonAge(stateAgeMs),
      }));
  }

  private listEndpoints(): ReadonlyArray<object> {
    return this.kernel
      .get(Fleet)
      .listEndpoints()
      .map(({ endpointId, vm, report, reportAgeMs, assignable }) => ({
        endpointId,
        role: vm.role,
        dataCentre: vm.dataCentre,
        region: vm.region,
        listed: vm.state,
        assignable: assignable.allowed,
        reason: assignable.allowed ? null : assignable.reason,
        report: report ?? null,
        reportAgeMs: toJsonAge(reportAgeMs),
      }));
  }

  private describeSource(source: PublishedSourceName, prefix: string): object {
    const published = this.kernel.get(PublishedState);
    const records = published.list(prefix);
    return {
      source,
      records: records.filter(({ body }) => body !== null).length,
      newestRevision: records.reduce((newest, { revision }) => Math.max(newest, revision), 0),
      completeRevision: this.kernel.get(SourceProgress).getCompleteRevision(source) ?? null,
      confirmedAgeMs: toJsonAge(published.getConfirmedAgeMs(source)),
    };
  }
}
