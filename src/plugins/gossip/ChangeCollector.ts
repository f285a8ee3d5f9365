/**
 * Chooses what a neighbour is sent: states and reports that are new to it or whose age matters.
 */
import type { Clock, EndpointReport, VmId } from '../../core';
import { isReportChanged, isUrgentChange } from '../../decisions';
import type { AgedNodeState, AgedReport, Fleet } from '../../services';
import type { GossipReply } from '../../wire';
import type { FleetIndex } from './FleetIndex';
import type {
  KnownReport,
  KnownState,
  NeighbourSyncState,
  KnownEntries,
} from './NeighbourSyncState';
import { GOSSIP_OPTIONS } from './options';

/** Ages that were computed twice differ by rounding; a real difference is larger. */
const AGE_TOLERANCE_MS = 1;

/** @internal */
export interface CollectedChanges extends Pick<
  GossipReply,
  'nodeStates' | 'stateRefreshes' | 'reports' | 'reportRefreshes'
> {
  readonly marks: KnownEntries;
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

  collect(neighbour: VmId, knowledge: NeighbourSyncState): CollectedChanges {
    const region = this.index.findVm(neighbour)?.region;
    const states = this.collectStates(neighbour, region, knowledge);
    const reports = this.collectReports(region, knowledge);
    return { ...states, ...reports, marks: { states: states.marks, reports: reports.marks } };
  }

  private collectStates(
    neighbour: VmId,
    region: string | undefined,
    knowledge: NeighbourSyncState,
  ): Pick<CollectedChanges, 'nodeStates' | 'stateRefreshes'> & { marks: KnownEntries['states'] } {
    const nodeStates: Array<CollectedChanges['nodeStates'][number]> = [];
    const stateRefreshes: Array<CollectedChanges['stateRefreshes'][number]> = [];
    const marks: Array<[VmId, KnownState]> = [];
    this.fleet.listNodeStates().forEach((held) => {
      const { vmId, ageMs, state, incarnation } = held;
      const idHash = this.index.getHash(vmId);
      if (idHash === undefined || vmId === neighbour) return;
      if (ageMs > GOSSIP_OPTIONS.maxEntryAgeMs) return;
      const heardAtMs = this.clock.nowMs() - ageMs;
      const known = knowledge.getState(vmId);
      const news = this.classifyState(held, heardAtMs, known, region);
      if (news === 'none') return;
      if (news === 'changed') nodeStates.push({ idHash, ageMs, state, incarnation });
      else stateRefreshes.push({ idHash, ageMs, state });
      marks.push([vmId, { heardAtMs, state, incarnation }]);
    });
    return { nodeStates, stateRefreshes, marks };
  }

  private classifyState(
    held: AgedNodeState,
    heardAtMs: number,
    known: KnownState | undefined,
    region: string | undefined,
  ): 'none' | 'changed' | 'refreshed' {
    if (!known) return 'changed';
    if (heardAtMs <= known.heardAtMs + AGE_TOLERANCE_MS) return 'none';
    if (known.state !== held.state || known.incarnation !== held.incarnation) return 'changed';
    const isLocal = this.index.findVm(held.vmId)?.region === region;
    const refreshMs = isLocal ? GOSSIP_OPTIONS.stateRefreshMs : GOSSIP_OPTIONS.remoteStateRefreshMs;
    return heardAtMs - known.heardAtMs >= refreshMs ? 'refreshed' : 'none';
  }

  private collectReports(
    region: string | undefined,
    knowledge: NeighbourSyncState,
  ): Pick<CollectedChanges, 'reports' | 'reportRefreshes'> & { marks: KnownEntries['reports'] } {
    const reports: Array<CollectedChanges['reports'][number]> = [];
    const reportRefreshes: Array<CollectedChanges['reportRefreshes'][number]> = [];
    const marks: Array<[AgedReport['endpointId'], KnownReport]> = [];
    const isFullScope = this.index.countEndpoints() <= GOSSIP_OPTIONS.fullScopeEndpoints;
    this.fleet.listReports().forEach(({ endpointId, report, ageMs }) => {
      const idHash = this.index.getHash(endpointId);
      if (idHash === undefined || ageMs > GOSSIP_OPTIONS.maxEntryAgeMs) return;
      // Another region learns of an endpoint only that it leaves; the link is billed by volume.
      const isInScope = isFullScope || this.index.findVm(endpointId)?.region === region;
      if (!isInScope && !report.leaving) return;
      const heardAtMs = this.clock.nowMs() - ageMs;
      const known = knowledge.getReport(endpointId);
      const news = this.classifyReport(report, heardAtMs, known, isInScope);
      if (news === 'none') return;
      if (news === 'changed') {
        const { models, ...figures } = report;
        const sentModels = hasSameModels(report, known?.report) ? undefined : models;
        reports.push({ idHash, ageMs, report: figures, models: sentModels });
        marks.push([endpointId, { heardAtMs, report }]);
      } else if (known) {
        reportRefreshes.push({ idHash, ageMs, leaving: report.leaving });
        marks.push([endpointId, { heardAtMs, report: known.report }]);
      }
    });
    return { reports, reportRefreshes, marks };
  }

  private classifyReport(
    report: EndpointReport,
    heardAtMs: number,
    known: KnownReport | undefined,
    isInScope: boolean,
  ): 'none' | 'changed' | 'refreshed' {
    if (!known) return 'changed';
    if (heardAtMs <= known.heardAtMs + AGE_TOLERANCE_MS) return 'none';
    if (!isInScope) return isUrgentChange(known.report, report) ? 'changed' : 'none';
    if (isReportChanged(known.report, report, GOSSIP_OPTIONS.reportChange)) return 'changed';
    const isDue = heardAtMs - known.heardAtMs >= GOSSIP_OPTIONS.reportRefreshMs;
    return isDue ? 'refreshed' : 'none';
  }
}
