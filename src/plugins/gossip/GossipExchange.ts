/**
 * One exchange: a node asks, its neighbour replies with what has changed.
 *
 * Ages travel only in replies. The asking node adds the whole time since it asked, so that a reply
 * that waited in a stalled link or in a paused process is never taken for fresh.
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
import { NeighbourKnowledge, type KnownReport, type KnownState } from './NeighbourKnowledge';
import { GOSSIP_OPTIONS } from './options';
import type { RecordDigests } from './RecordDigests';

/** Sequence numbers start at random, so that a restarted node doesn't repeat those it used before. */
const FIRST_SEQUENCE_LIMIT = 2 ** 30;

/** A claim about a source with the monotonic time at which it was true. @internal */
export interface TimedClaim {
  readonly source: PublishedSourceName;
  readonly confirmedAtMs: number | undefined;
  readonly completeRevision: number | undefined;
}

/** What a reply leads to. @internal */
export interface TakenReply {
  /** Whether something came that the other neighbours should hear at once. */
  readonly isUrgent: boolean;
  /** Sources of which the neighbour holds other records than this node. */
  readonly differing: ReadonlyArray<TimedClaim>;
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

interface Taken<T, K> {
  readonly accepted: ReadonlyArray<T>;
  readonly marks: ReadonlyArray<readonly [string, K]>;
  readonly unknown: ReadonlyArray<number>;
}

/** @internal */
export class GossipExchange {
  private readonly knowledge = new Map<VmId, NeighbourKnowledge>();

  private readonly collector: ChangeCollector;

  private lastSequence = randomInt(1, FIRST_SEQUENCE_LIMIT);

  constructor(private readonly parameters: ExchangeParameters) {
    const { fleet, index, clock } = parameters;
    this.collector = new ChangeCollector(fleet, index, clock);
  }

  createRequest(neighbour: VmId): GossipRequest {
    const { lastSequence: ack, unknown } = this.getKnowledge(neighbour);
    return unknown.length > 0 ? { ack, unknown } : { ack };
  }

  answer(neighbour: VmId, { ack, unknown = [] }: GossipRequest): GossipReply {
    const knowledge = this.getKnowledge(neighbour);
    knowledge.acknowledge(ack);
    unknown.forEach((idHash) => {
      const vmId = this.parameters.index.resolve(idHash);
      if (vmId) knowledge.forget(vmId);
    });
    const { marks, ...changes } = this.collector.collect(neighbour, knowledge);
    this.lastSequence += 1;
    knowledge.noteSent(this.lastSequence, marks);
    return {
      sequence: this.lastSequence,
      configuration: this.makeClaim('configuration'),
      vmList: this.makeClaim('vm-list'),
      ...changes,
    };
  }

  take(neighbour: VmId, reply: GossipReply, askedAtMs: number): TakenReply {
    const { clock, fleet } = this.parameters;
    const elapsedMs = clock.nowMs() - askedAtMs;
    const states = this.takeStates(reply, elapsedMs);
    const reports = this.takeReports(reply, elapsedMs);
    const isUrgent = this.isNews(states.accepted, reports.accepted);
    fleet.mergeNodeStates(states.accepted);
    fleet.mergeReports(reports.accepted);
    this.getKnowledge(neighbour).noteReceived(
      reply.sequence,
      {
        states: states.marks as ReadonlyArray<[VmId, KnownState]>,
        reports: reports.marks as ReadonlyArray<[AgedReport['endpointId'], KnownReport]>,
      },
      [...states.unknown, ...reports.unknown],
    );
    const claims = [
      this.timeClaim('configuration', reply.configuration, askedAtMs),
      this.timeClaim('vm-list', reply.vmList, askedAtMs),
    ];
    const differs = ({ source }: TimedClaim): boolean =>
      this.parameters.digests.getTotal(source) !==
      (source === 'vm-list' ? reply.vmList : reply.configuration).digest;
    claims.filter((claim) => !differs(claim)).forEach((claim) => this.adopt(claim));
    return { isUrgent, differing: claims.filter(differs) };
  }

  /** Takes a claim over; only for a node that holds every record the claim was made about. */
  adopt({ source, confirmedAtMs, completeRevision }: TimedClaim): void {
    const { clock, published, progress } = this.parameters;
    if (completeRevision === undefined) return;
    progress.markComplete(source, completeRevision);
    if (confirmedAtMs !== undefined) published.confirm(source, clock.nowMs() - confirmedAtMs);
  }

  /** Forgets nodes that are no longer neighbours. */
  forgetSilent(): void {
    const oldestMs = this.parameters.clock.nowMs() - GOSSIP_OPTIONS.maxSpreadAgeMs;
    [...this.knowledge]
      .filter(([, { lastUsedMs }]) => lastUsedMs < oldestMs)
      .forEach(([vmId]) => this.knowledge.delete(vmId));
  }

  private getKnowledge(neighbour: VmId): NeighbourKnowledge {
    const knowledge = this.knowledge.get(neighbour) ?? new NeighbourKnowledge();
    this.knowledge.set(neighbour, knowledge);
    knowledge.lastUsedMs = this.parameters.clock.nowMs();
    return knowledge;
  }

  private makeClaim(source: PublishedSourceName): SourceStatus {
    const { published, progress, digests } = this.parameters;
    const ageMs = published.getConfirmedAgeMs(source);
    return {
      confirmedAgeMs: Number.isFinite(ageMs) ? ageMs : undefined,
      completeRevision: progress.getCompleteRevision(source),
      digest: digests.getTotal(source),
    };
  }

  private timeClaim(
    source: PublishedSourceName,
    { confirmedAgeMs, completeRevision }: SourceStatus,
    askedAtMs: number,
  ): TimedClaim {
    const confirmedAtMs = confirmedAgeMs === undefined ? undefined : askedAtMs - confirmedAgeMs;
    return { source, completeRevision, confirmedAtMs };
  }

  private takeStates(reply: GossipReply, elapsedMs: number): Taken<AgedNodeState, KnownState> {
    const accepted: AgedNodeState[] = [];
    const unknown: number[] = [];
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
      const given = 'incarnation' in entry ? entry.incarnation : undefined;
      const incarnation = given ?? before?.incarnation;
      const isMismatch = !given && before?.state !== entry.state;
      if (!vmId || !incarnation || isMismatch) {
        unknown.push(entry.idHash);
        return;
      }
      const ageMs = entry.ageMs + elapsedMs;
      accepted.push({ vmId, incarnation, state: entry.state, ageMs });
    });
    const marks = accepted.map(({ vmId, state, incarnation, ageMs }) => {
      const heardAtMs = this.parameters.clock.nowMs() - ageMs;
      return [vmId, { heardAtMs, state, incarnation }] as const;
    });
    return { accepted, marks, unknown };
  }

  private takeReports(reply: GossipReply, elapsedMs: number): Taken<AgedReport, KnownReport> {
    const accepted: AgedReport[] = [];
    const unknown: number[] = [];
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
        unknown.push(entry.idHash);
        return;
      }
      accepted.push({ endpointId, report, ageMs: entry.ageMs + elapsedMs });
    });
    const marks = accepted.map(({ endpointId, report, ageMs }) => {
      const heardAtMs = this.parameters.clock.nowMs() - ageMs;
      return [endpointId, { heardAtMs, report }] as const;
    });
    return { accepted, marks, unknown };
  }

  private isNews(
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
