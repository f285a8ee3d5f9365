/**
 * Creates and applies the messages by which this node and another one exchange their states.
 */
import { computeAgeMs, type VmId } from '../../core';
import type { ExchangeRole } from '../../decisions';
import type { Kernel } from '../../kernel';
import { EntryDirectory, type MemberIdentity, type Peer } from '../../services';
import {
  decodeIdentity,
  decodeLoads,
  decodeLoadSums,
  encodeIdentity,
  encodeLoads,
  encodeLoadSums,
  hashIdentity,
  hashMembers,
} from './encodeMembers';
import type { FleetLoads } from './FleetLoads';
import type { FleetSummary } from './FleetSummaries';
import type { MemberTable } from './MemberTable';
import type {
  ExchangeReply,
  ExchangeRequest,
  IdentityMessage,
  SummaryMessage,
} from './memberMessages';
import { MEMBER_OPTIONS } from './options';
import { SharedStates } from './SharedStates';

type CommonFields = Pick<ExchangeReply, keyof ExchangeReply & keyof ExchangeRequest>;

/** @internal */
export class StateExchange {
  private ownSummary: FleetSummary | undefined;

  /** When a node of the own data centre last asked this one as its aggregator. */
  private askedAtMs = -Infinity;

  private readonly shared: SharedStates;

  private readonly startedAtMs: number;

  /** Whether a node that has what the fleet shares has answered this one. */
  private hasLearned = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly table: MemberTable,
    private readonly loads: FleetLoads,
  ) {
    this.shared = new SharedStates(kernel);
    this.startedAtMs = kernel.clock.nowMs();
  }

  /** Whether this node has what the fleet shares, or no node answered in time. */
  get hasJoined(): boolean {
    const ageMs = this.kernel.clock.nowMs() - this.startedAtMs;
    return this.hasLearned || ageMs >= MEMBER_OPTIONS.joinTimeoutMs;
  }

  get isAsked(): boolean {
    return this.kernel.clock.nowMs() - this.askedAtMs < MEMBER_OPTIONS.askedWithinMs;
  }

  describeSelf(): MemberIdentity {
    const { settings, incarnation } = this.kernel;
    const { vmId, dataCentre, region, peerAddress, callerAddress } = settings;
    const takesCallers = this.kernel.get(EntryDirectory).takesCallers();
    return { vmId, incarnation, dataCentre, region, peerAddress, callerAddress, takesCallers };
  }

  createRequest(to: VmId, role: ExchangeRole, wantsLoadSums: boolean): ExchangeRequest {
    const { clock } = this.kernel;
    const known = this.table.summaries.listFresh(clock.nowMs());
    const summaries = role === 'aggregator' ? [this.describeOwn(role, [])] : [];
    return {
      self: encodeIdentity(this.describeSelf()),
      loads: encodeLoads(this.loads.listOwn()),
      summaries,
      ...this.describeShared(to),
      role,
      knownLists: [...new Set(known.map(({ membersHash }) => membersHash))],
      missing: this.table.listMissingIdentities(),
      wantsLoadSums,
    };
  }

  /** Applies a request and returns the reply. */
  answer(role: ExchangeRole, from: Peer, request: ExchangeRequest): ExchangeReply {
    this.applyState(from, request, this.kernel.clock.nowMs());
    const { dataCentre } = this.kernel.settings;
    const sender = decodeIdentity(request.self);
    const isNeighbour = sender.dataCentre === dataCentre;
    if (request.role === 'member' && isNeighbour) this.askedAtMs = this.kernel.clock.nowMs();
    const { clock } = this.kernel;
    const relayed = this.table.summaries
      .listForRelay(clock.nowMs())
      .filter(({ origin }) => origin !== from.vmId)
      .map((summary) => this.encodeSummary(summary, request.knownLists));
    // A member hears only its aggregators. Its summary would displace theirs, but is all there is for
    // a node that is new while the fleet starts.
    const isSummaryNeeded = role !== 'member' || request.role === 'mesh';
    // Only other aggregators need the loads of the own data centre by themselves.
    const ownRole = request.role === 'aggregator' ? role : 'member';
    const own = isSummaryNeeded ? [this.describeOwn(ownRole, request.knownLists)] : [];
    return {
      self: encodeIdentity(this.describeSelf()),
      loads: request.role === 'member' ? [] : encodeLoads(this.loads.listOwn()),
      summaries: [...own, ...relayed],
      ...this.describeShared(from.vmId),
      identities: this.listIdentities(request.missing),
      loadSums:
        request.wantsLoadSums && isNeighbour
          ? encodeLoadSums(this.loads.sumForNode(from.vmId))
          : undefined,
    };
  }

  /** @param sentAtMs when the request was sent; what the reply says is at least as recent. */
  applyReply(from: Peer, reply: ExchangeReply, sentAtMs: number): void {
    reply.identities.forEach((message) => this.table.addIdentity(decodeIdentity(message)));
    this.applyState(from, reply, sentAtMs);
    if (reply.identities.length > 0) this.table.recordAllSummaries();
    if (reply.loadSums) this.loads.receive(decodeLoadSums(reply.loadSums), sentAtMs);
  }

  private describeShared(to: VmId): Pick<ExchangeReply, 'shared' | 'hasJoined'> {
    const messages = this.shared.encodeFor(to);
    const shared = messages.length === 0 ? undefined : messages;
    return { shared, hasJoined: this.hasJoined };
  }

  private applyState(
    from: Peer,
    { self, loads, summaries, shared = [], hasJoined }: CommonFields,
    receivedAtMs: number,
  ): void {
    const identity = decodeIdentity(self);
    if (identity.vmId !== from.vmId || identity.incarnation !== from.incarnation) {
      this.kernel.log.warn('member state of another node ignored', {
        peer: from.vmId,
        member: identity.vmId,
      });
      return;
    }
    this.table.updateDirect(identity, decodeLoads(loads), this.kernel.clock.nowMs());
    summaries.forEach((summary) => this.applySummary(from.vmId, summary, receivedAtMs));
    const isCurrent = this.shared.apply(from, shared, receivedAtMs);
    this.hasLearned ||= hasJoined && isCurrent;
    this.loads.invalidate();
  }

  private applySummary(from: VmId, message: SummaryMessage, receivedAtMs: number): void {
    const { origin, dataCentre, ageMs, membersHash, loadSums } = message;
    const members = message.members ?? this.table.summaries.findMembers(membersHash);
    if (!members) return;
    const takenAtMs = receivedAtMs - ageMs;
    const isOwn = origin === from;
    const loads = isOwn && loadSums ? { takenAtMs, sums: decodeLoadSums(loadSums) } : undefined;
    this.table.storeSummary({ origin, dataCentre, takenAtMs, membersHash, members, loads });
  }

  private listIdentities(hashes: ReadonlyArray<number>): ReadonlyArray<IdentityMessage> {
    if (hashes.length === 0) return [];
    const self = this.describeSelf();
    const ownHash = hashIdentity(self);
    return hashes.flatMap((identityHash) => {
      const identity = identityHash === ownHash ? self : this.table.findIdentity(identityHash);
      return identity ? [encodeIdentity(identity)] : [];
    });
  }

  private describeOwn(role: ExchangeRole, knownLists: ReadonlyArray<number>): SummaryMessage {
    const summary = this.encodeSummary(this.summarise(), knownLists);
    if (role !== 'aggregator') return summary;
    return { ...summary, loadSums: encodeLoadSums(this.loads.sumDataCentre()) };
  }

  private encodeSummary(
    { origin, dataCentre, takenAtMs, membersHash, members }: FleetSummary,
    knownLists: ReadonlyArray<number>,
  ): SummaryMessage {
    const ageMs = computeAgeMs(this.kernel.clock, takenAtMs);
    const isKnown = knownLists.includes(membersHash);
    return { origin, dataCentre, ageMs, membersHash, members: isKnown ? undefined : members };
  }

  /** Whom this node has heard from itself; reused for a short time. */
  private summarise(): FleetSummary {
    const { clock, settings } = this.kernel;
    const nowMs = clock.nowMs();
    const { summaryReuseMs, listedWithinMs } = MEMBER_OPTIONS;
    if (this.ownSummary && nowMs - this.ownSummary.takenAtMs < summaryReuseMs) {
      return this.ownSummary;
    }
    const members = [
      hashIdentity(this.describeSelf()),
      ...this.table.listDirect(listedWithinMs).map(({ identityHash }) => identityHash),
    ];
    this.ownSummary = {
      origin: settings.vmId,
      dataCentre: settings.dataCentre,
      takenAtMs: nowMs,
      membersHash: hashMembers(members),
      members,
      loads: undefined,
    };
    return this.ownSummary;
  }
}
