/**
 * The exchange with a neighbour: a node sends a request, and the neighbour replies with what has
 * changed since the last reply that the node acknowledged.
 *
 * Only replies carry ages. The requesting node adds the whole time since its request to them, so that
 * a reply delayed by a stalled link or a paused process is never taken for fresh.
 */
import { randomInt } from 'node:crypto';
import type { Clock, PublishedSourceName, VmId } from '../../core';
import { isUrgentChange } from '../../decisions';
import type {
  AgedNodeState,
  AgedReport,
  Fleet,
  PublishedState,
  SourceProgress,
} from '../../services';
import type {
  GossipReply,
  GossipRequest,
  SourceStatus,
  NodeStateUpdate,
  StateRefresh,
} from '../../wire';
import { ChangeCollector } from './ChangeCollector';
import type { FleetIndex } from './FleetIndex';
import { NeighbourSyncState, type KnownReport, type KnownState } from './NeighbourSyncState';
import { GOSSIP_OPTIONS } from './options';
import type { RecordDigests } from './RecordDigests';

/** Sequence numbers start at random, so that a restarted node doesn't reuse its earlier ones. */
const FIRST_SEQUENCE_LIMIT = 2 ** 30;

/** A neighbour's status of a source, with a monotonic time instead of the age. @internal */
export interface TimedSourceStatus {
  readonly source: PublishedSourceName;
  readonly confirmedAtMs: number | undefined;
  readonly completeRevision: number | undefined;
}

/** Result of applying a reply. @internal */
export interface ReplyOutcome {
  /** Whether the reply holds a change that should reach the other neighbours at once. */
  readonly hasUrgentChange: boolean;
  /** Statuses of the sources whose records differ between the neighbour and this node. */
  readonly differingSources: ReadonlyArray<TimedSourceStatus>;
}

/** @internal */
export interface ExchangeParameters {
  readonly fleet: Fleet;
  readonly published: PublishedState;
  readonly progress: SourceProgress;
  readonly index: FleetIndex;
  readonly digests: RecordDigests;
  readonly clock: Clock;
}

interface ReceivedEntries<T, K> {
  readonly accepted: ReadonlyArray<T>;
  readonly knownEntries: ReadonlyArray<readonly [string, K]>;
  readonly unresolvedHashes: ReadonlyArray<number>;
}

/** @internal */
export class GossipExchange {
  private readonly syncStates = new Map<VmId, NeighbourSyncState>();

  private readonly collector: ChangeCollector;

  private lastSequence = randomInt(1, FIRST_SEQUENCE_LIMIT);

  constructor(private readonly parameters: ExchangeParameters) {
    const { fleet, index, clock } = parameters;
    this.collector = new ChangeCollector(fleet, index, clock);
  }

  createRequest(neighbour: VmId): GossipRequest {
    const { lastSequence: ack, unresolvedHashes } = this.getSyncState(neighbour);
    return unresolvedHashes.length > 0 ? { ack, unknown: unresolvedHashes } : { ack };
  }

  createReply(neighbour: VmId, { ack, unknown = [] }: GossipRequest): GossipReply {
    const syncState = this.getSyncState(neighbour);
    syncState.acknowledge(ack);
    unknown.forEach((idHash) => {
      const vmId = this.parameters.index.resolve(idHash);
      if (vmId) syncState.clearEntries(vmId);
    });
    const { knownEntries, ...changes } = this.collector.collect(neighbour, syncState);
    this.lastSequence += 1;
    syncState.recordSent(this.lastSequence, knownEntries);
    return {
      sequence: this.lastSequence,
      configuration: this.createStatus('configuration'),
      vmList: this.createStatus('vm-list'),
      ...changes,
    };
  }

  applyReply(neighbour: VmId, reply: GossipReply, requestedAtMs: number): ReplyOutcome {
    const { clock, fleet } = this.parameters;
    const elapsedMs = clock.nowMs() - requestedAtMs;
    const states = this.receiveStates(reply, elapsedMs);
    const reports = this.receiveReports(reply, elapsedMs);
    const hasUrgentChange = this.isUrgent(states.accepted, reports.accepted);
    fleet.mergeNodeStates(states.accepted);
    fleet.mergeReports(reports.accepted);
    this.getSyncState(neighbour).recordReceived(
      reply.sequence,
      {
        states: states.knownEntries as ReadonlyArray<[VmId, KnownState]>,
        reports: reports.knownEntries as ReadonlyArray<[AgedReport['endpointId'], KnownReport]>,
      },
      [...states.unresolvedHashes, ...reports.unresolvedHashes],
    );
    const statuses = [
      this.addConfirmationTime('configuration', reply.configuration, requestedAtMs),
      this.addConfirmationTime('vm-list', reply.vmList, requestedAtMs),
    ];
    const differs = ({ source }: TimedSourceStatus): boolean =>
      this.parameters.digests.getTotal(source) !==
      (source === 'vm-list' ? reply.vmList : reply.configuration).digest;
    statuses.filter((status) => !differs(status)).forEach((status) => this.adoptStatus(status));
    return { hasUrgentChange, differingSources: statuses.filter(differs) };
  }

  /** Adopts a neighbour's status; this node must hold every record that the status covers. */
  adoptStatus({ source, confirmedAtMs, completeRevision }: TimedSourceStatus): void {
    const { clock, published, progress } = this.parameters;
    if (completeRevision === undefined) return;
    progress.markComplete(source, completeRevision);
    if (confirmedAtMs !== undefined) published.confirm(source, clock.nowMs() - confirmedAtMs);
  }

  /** Evicts the state kept for nodes that are no longer neighbours. */
  evictInactive(): void {
    const oldestMs = this.parameters.clock.nowMs() - GOSSIP_OPTIONS.maxEntryAgeMs;
    [...this.syncStates]
      .filter(([, { lastUsedMs }]) => lastUsedMs < oldestMs)
      .forEach(([vmId]) => this.syncStates.delete(vmId));
  }

  private getSyncState(neighbour: VmId): NeighbourSyncState {
    const syncState = this.syncStates.get(neighbour) ?? new NeighbourSyncState();
    this.syncStates.set(neighbour, syncState);
    syncState.lastUsedMs = this.parameters.clock.nowMs();
    return syncState;
  }

  private createStatus(source: PublishedSourceName): SourceStatus {
    const { published, progress, digests } = this.parameters;
    const ageMs = published.getConfirmedAgeMs(source);
    return {
      confirmedAgeMs: Number.isFinite(ageMs) ? ageMs : undefined,
      completeRevision: progress.getCompleteRevision(source),
      digest: digests.getTotal(source),
    };
  }

  private addConfirmationTime(
    source: PublishedSourceName,
    { confirmedAgeMs, completeRevision }: SourceStatus,
    requestedAtMs: number,
  ): TimedSourceStatus {
    const confirmedAtMs = confirmedAgeMs === undefined ? undefined : requestedAtMs - confirmedAgeMs;
    return { source, completeRevision, confirmedAtMs };
  }

  private receiveStates(
    reply: GossipReply,
    elapsedMs: number,
  ): ReceivedEntries<AgedNodeState, KnownState> {
    const accepted: AgedNodeState[] = [];
    const unresolvedHashes: number[] = [];
    const held = new Map(
      this.parameters.fleet.listNodeStates().map((state) => [state.vmId, state]),
    );
    const entries: ReadonlyArray<NodeStateUpdate | StateRefresh> = [
      ...reply.nodeStates,
      ...reply.stateRefreshes,
    ];
    entries.forEach((entry) => {
      const vmId = this.parameters.index.resolve(entry.idHash);
      const before = vmId === undefined ? undefined : held.get(vmId);
      const sentIncarnation = 'incarnation' in entry ? entry.incarnation : undefined;
      const incarnation = sentIncarnation ?? before?.incarnation;
      const isMismatch = !sentIncarnation && before?.state !== entry.state;
      if (!vmId || !incarnation || isMismatch) {
        unresolvedHashes.push(entry.idHash);
        return;
      }
      const ageMs = entry.ageMs + elapsedMs;
      accepted.push({ vmId, incarnation, state: entry.state, ageMs });
    });
    const knownEntries = accepted.map(({ vmId, state, incarnation, ageMs }) => {
      const asOfMs = this.parameters.clock.nowMs() - ageMs;
      return [vmId, { asOfMs, state, incarnation }] as const;
    });
    return { accepted, knownEntries, unresolvedHashes };
  }

  private receiveReports(
    reply: GossipReply,
    elapsedMs: number,
  ): ReceivedEntries<AgedReport, KnownReport> {
    const accepted: AgedReport[] = [];
    const unresolvedHashes: number[] = [];
    const held = new Map(
      this.parameters.fleet.listReports().map(({ endpointId, report }) => [endpointId, report]),
    );
    [...reply.reports, ...reply.reportRefreshes].forEach((entry) => {
      const vmId = this.parameters.index.resolve(entry.idHash);
      const endpointId = vmId as string as AgedReport['endpointId'];
      const before = vmId === undefined ? undefined : held.get(endpointId);
      const models = ('models' in entry ? entry.models : undefined) ?? before?.models;
      const isMismatch = !('report' in entry) && before?.leaving !== entry.leaving;
      const report = 'report' in entry ? models && { ...entry.report, models } : before;
      if (!vmId || !report || isMismatch) {
        unresolvedHashes.push(entry.idHash);
        return;
      }
      accepted.push({ endpointId, report, ageMs: entry.ageMs + elapsedMs });
    });
    const knownEntries = accepted.map(({ endpointId, report, ageMs }) => {
      const asOfMs = this.parameters.clock.nowMs() - ageMs;
      return [endpointId, { asOfMs, report }] as const;
    });
    return { accepted, knownEntries, unresolvedHashes };
  }

  private isUrgent(
    states: ReadonlyArray<AgedNodeState>,
    reports: ReadonlyArray<AgedReport>,
  ): boolean {
    const { fleet } = this.parameters;
    const heldReports = new Map(fleet.listReports().map((held) => [held.endpointId, held]));
    const hasNewState = states.some(
      ({ vmId, state }) => state === 'draining' && fleet.findNode(vmId)?.state !== 'draining',
    );
    return (
      hasNewState ||
      reports.some(({ endpointId, report, ageMs }) => {
        const held = heldReports.get(endpointId);
        return (held?.ageMs ?? Infinity) > ageMs && isUrgentChange(held?.report, report);
      })
    );
  }
}
