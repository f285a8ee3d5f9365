/**
 * Chooses what to send to a neighbour: node states and reports that changed or are due for a refresh.
 */
import type { Clock, EndpointReport, VmId } from '../../core';
import { isReportChanged, isUrgentChange } from '../../decisions';
import type { AgedNodeState, AgedReport, Fleet } from '../../services';
import type { GossipReply } from '../../wire';
import type { FleetIndex } from './FleetIndex';
import type {
  KnownEntries,
  KnownReport,
  KnownState,
  NeighbourSyncState,
} from './NeighbourSyncState';
import { GOSSIP_OPTIONS } from './options';

/** Ages computed twice differ by rounding errors; real differences are larger. */
const AGE_TOLERANCE_MS = 1;

/** @internal */
export interface CollectedChanges extends Pick<
  GossipReply,
  'nodeStates' | 'stateRefreshes' | 'reports' | 'reportRefreshes'
> {
  readonly knownEntries: KnownEntries;
}

function hasSameModels(a: EndpointReport, b: EndpointReport | undefined): boolean {
  return a.models.join('\n') === b?.models.join('\n');
}

/** @internal */
export class ChangeCollector {
  constructor(
    private readonly fleet: Fleet,
    private readonly index: FleetIndex,
    private readonly clock: Clock,
  ) {}

  collect(neighbour: VmId, syncState: NeighbourSyncState): CollectedChanges {
    const region = this.index.findVm(neighbour)?.region;
    const states = this.collectStates(neighbour, region, syncState);
    const reports = this.collectReports(region, syncState);
    return {
      ...states,
      ...reports,
      knownEntries: { states: states.knownEntries, reports: reports.knownEntries },
    };
  }

  private collectStates(
    neighbour: VmId,
    region: string | undefined,
    syncState: NeighbourSyncState,
  ): Pick<CollectedChanges, 'nodeStates' | 'stateRefreshes'> & {
    knownEntries: KnownEntries['states'];
  } {
    const nodeStates: Array<CollectedChanges['nodeStates'][number]> = [];
    const stateRefreshes: Array<CollectedChanges['stateRefreshes'][number]> = [];
    const knownEntries: Array<[VmId, KnownState]> = [];
    this.fleet.listNodeStates().forEach((held) => {
      const { vmId, ageMs, state, incarnation } = held;
      const idHash = this.index.getHash(vmId);
      if (idHash === undefined || vmId === neighbour) return;
      if (ageMs > GOSSIP_OPTIONS.maxEntryAgeMs) return;
      const asOfMs = this.clock.nowMs() - ageMs;
      const known = syncState.getState(vmId);
      const change = this.classifyState(held, asOfMs, known, region);
      if (change === 'none') return;
      if (change === 'changed') nodeStates.push({ idHash, ageMs, state, incarnation });
      else stateRefreshes.push({ idHash, ageMs, state });
      knownEntries.push([vmId, { asOfMs, state, incarnation }]);
    });
    return { nodeStates, stateRefreshes, knownEntries };
  }

  private classifyState(
    held: AgedNodeState,
    asOfMs: number,
    known: KnownState | undefined,
    region: string | undefined,
  ): 'none' | 'changed' | 'refreshed' {
    if (!known) return 'changed';
    if (asOfMs <= known.asOfMs + AGE_TOLERANCE_MS) return 'none';
    if (known.state !== held.state || known.incarnation !== held.incarnation) return 'changed';
    const isLocal = this.index.findVm(held.vmId)?.region === region;
    const refreshMs = isLocal ? GOSSIP_OPTIONS.stateRefreshMs : GOSSIP_OPTIONS.remoteStateRefreshMs;
    return asOfMs - known.asOfMs >= refreshMs ? 'refreshed' : 'none';
  }

  private collectReports(
    region: string | undefined,
    syncState: NeighbourSyncState,
  ): Pick<CollectedChanges, 'reports' | 'reportRefreshes'> & {
    knownEntries: KnownEntries['reports'];
  } {
    const reports: Array<CollectedChanges['reports'][number]> = [];
    const reportRefreshes: Array<CollectedChanges['reportRefreshes'][number]> = [];
    const knownEntries: Array<[AgedReport['endpointId'], KnownReport]> = [];
    const isFullScope = this.index.countEndpoints() <= GOSSIP_OPTIONS.fullScopeEndpoints;
    this.fleet.listReports().forEach(({ endpointId, report, ageMs }) => {
      const idHash = this.index.getHash(endpointId);
      if (idHash === undefined || ageMs > GOSSIP_OPTIONS.maxEntryAgeMs) return;
      // Other regions are sent a report only when the endpoint is leaving: links are billed by volume.
      const isInScope = isFullScope || this.index.findVm(endpointId)?.region === region;
      if (!isInScope && !report.leaving) return;
      const asOfMs = this.clock.nowMs() - ageMs;
      const known = syncState.getReport(endpointId);
      const change = this.classifyReport(report, asOfMs, known, isInScope);
      if (change === 'none') return;
      if (change === 'changed') {
        const { models, ...figures } = report;
        const sentModels = hasSameModels(report, known?.report) ? undefined : models;
        reports.push({ idHash, ageMs, report: figures, models: sentModels });
        knownEntries.push([endpointId, { asOfMs, report }]);
      } else if (known) {
        reportRefreshes.push({ idHash, ageMs, leaving: report.leaving });
        knownEntries.push([endpointId, { asOfMs, report: known.report }]);
      }
    });
    return { reports, reportRefreshes, knownEntries };
  }

  private classifyReport(
    report: EndpointReport,
    asOfMs: number,
    known: KnownReport | undefined,
    isInScope: boolean,
  ): 'none' | 'changed' | 'refreshed' {
    if (!known) return 'changed';
    if (asOfMs <= known.asOfMs + AGE_TOLERANCE_MS) return 'none';
    if (!isInScope) return isUrgentChange(known.report, report) ? 'changed' : 'none';
    if (isReportChanged(known.report, report, GOSSIP_OPTIONS.reportChange)) return 'changed';
    const isDue = asOfMs - known.asOfMs >= GOSSIP_OPTIONS.reportRefreshMs;
    return isDue ? 'refreshed' : 'none';
  }
}
