/**
 * The other nodes of the fleet: what each told this node itself, and whom other nodes heard from.
 */
import type { VmId } from '../../core';
import type { EndpointLoad, ExchangeNode } from '../../decisions';
import type { Kernel } from '../../kernel';
import type { KnownMember, MemberIdentity } from '../../services';
import { hashIdentity } from './encodeMembers';
import { FleetRoster } from './FleetRoster';
import { FleetSummaries, type FleetSummary } from './FleetSummaries';
import { MEMBER_OPTIONS } from './options';

/** What a node told about itself in its latest exchange with this node. @internal */
export interface DirectState {
  readonly identity: MemberIdentity;
  readonly identityHash: number;
  readonly loads: ReadonlyArray<EndpointLoad>;
  readonly receivedAtMs: number;
}

/** @internal */
export interface ExchangeCandidate extends ExchangeNode {
  /** Whether this node or another one heard from it recently. */
  readonly isLive: boolean;
}

interface HeardMember {
  readonly identity: MemberIdentity;
  readonly identityHash: number;
  readonly heardAtMs: number;
}

/** @internal */
export class MemberTable {
  readonly summaries = new FleetSummaries();

  readonly roster: FleetRoster;

  private readonly identities = new Map<number, MemberIdentity>();

  private readonly direct = new Map<VmId, DirectState>();

  private readonly heard = new Map<VmId, HeardMember>();

  /** Identities in fresh summaries that this node lacks; undefined when they have to be listed. */
  private missing: ReadonlyArray<number> | undefined;

  /** Monotonic times at which nodes didn't answer, unless they have sent something since. */
  private readonly failedAtMs = new Map<VmId, number>();

  private evictedAtMs = -Infinity;

  constructor(private readonly kernel: Kernel) {
    this.roster = new FleetRoster(kernel, (address) => this.getHeardAtMs(address));
  }

  /** Stores the state that a node sent, unless a newer one is known. */
  updateDirect(
    identity: MemberIdentity,
    loads: ReadonlyArray<EndpointLoad>,
    receivedAtMs: number,
  ): void {
    const { vmId } = identity;
    if ((this.direct.get(vmId)?.receivedAtMs ?? -Infinity) > receivedAtMs) return;
    const identityHash = this.addIdentity(identity);
    this.direct.set(vmId, { identity, identityHash, loads, receivedAtMs });
    this.failedAtMs.delete(vmId);
    this.recordHeard(identityHash, identity, receivedAtMs);
  }

  addIdentity(identity: MemberIdentity): number {
    const identityHash = hashIdentity(identity);
    if (!this.identities.has(identityHash)) {
      this.identities.set(identityHash, identity);
      this.missing = undefined;
    }
    return identityHash;
  }

  findIdentity(identityHash: number): MemberIdentity | undefined {
    return this.identities.get(identityHash);
  }

  storeSummary(summary: FleetSummary): void {
    if (summary.origin === this.kernel.settings.vmId) return;
    if (this.summaries.store(summary)) this.missing = undefined;
    this.recordSummaryMembers(summary);
  }

  /** Records the members of all summaries again, after identities were added. */
  recordAllSummaries(): void {
    this.summaries
      .listFresh(this.kernel.clock.nowMs())
      .forEach((summary) => this.recordSummaryMembers(summary));
  }

  /** Returns the identities in fresh summaries that this node lacks. */
  listMissingIdentities(): ReadonlyArray<number> {
    this.missing ??= [...this.listSummarised()].filter((hash) => !this.identities.has(hash));
    return this.missing;
  }

  /** Returns the nodes that sent their state themselves within a time. */
  listDirect(withinMs: number): ReadonlyArray<DirectState> {
    const sinceMs = this.kernel.clock.nowMs() - withinMs;
    return [...this.direct.values()].filter(({ receivedAtMs }) => receivedAtMs > sinceMs);
  }

  getDirectAgeMs(vmId: VmId): number {
    return this.kernel.clock.nowMs() - (this.direct.get(vmId)?.receivedAtMs ?? -Infinity);
  }

  /** Returns the nodes that this node or another one heard from recently. */
  listHeard(): ReadonlyArray<KnownMember> {
    const nowMs = this.kernel.clock.nowMs();
    const sinceMs = nowMs - MEMBER_OPTIONS.maxSummaryAgeMs;
    return [...this.heard.values()]
      .filter(({ heardAtMs }) => heardAtMs > sinceMs)
      .map(({ identity, heardAtMs }) => ({ ...identity, stateAgeMs: nowMs - heardAtMs }));
  }

  /** Returns the nodes that this node itself heard from recently. */
  listHeardDirectly(): ReadonlyArray<KnownMember> {
    const nowMs = this.kernel.clock.nowMs();
    return this.listDirect(MEMBER_OPTIONS.unresponsiveAfterMs).map(
      ({ identity, receivedAtMs }) => ({ ...identity, stateAgeMs: nowMs - receivedAtMs }),
    );
  }

  /** Returns all nodes that haven't been evicted, as candidates for an exchange. */
  listCandidates(): ReadonlyArray<ExchangeCandidate> {
    const nowMs = this.kernel.clock.nowMs();
    const { maxSummaryAgeMs, failedForMs, silentFailedForMs } = MEMBER_OPTIONS;
    return [...this.heard].map(([vmId, { identity, heardAtMs }]) => {
      const isLive = nowMs - heardAtMs < maxSummaryAgeMs;
      const failedAgeMs = nowMs - (this.failedAtMs.get(vmId) ?? -Infinity);
      return {
        vmId,
        dataCentre: identity.dataCentre,
        takesCallers: identity.takesCallers,
        isLive,
        hasFailed: failedAgeMs < (isLive ? failedForMs : silentFailedForMs),
      };
    });
  }

  find(vmId: VmId): MemberIdentity | undefined {
    return this.heard.get(vmId)?.identity;
  }

  findByAddress(peerAddress: string): MemberIdentity | undefined {
    return this.findHeard(peerAddress)?.identity;
  }

  private getHeardAtMs(peerAddress: string): number | undefined {
    return this.findHeard(peerAddress)?.heardAtMs;
  }

  private findHeard(peerAddress: string): HeardMember | undefined {
    return [...this.heard.values()].find(({ identity }) => identity.peerAddress === peerAddress);
  }

  recordFailure(vmId: VmId): void {
    this.failedAtMs.set(vmId, this.kernel.clock.nowMs());
  }

  /** Returns the number of nodes in sight, including this one and those without a known identity. */
  countNodes(): number {
    const sinceMs = this.kernel.clock.nowMs() - MEMBER_OPTIONS.maxSummaryAgeMs;
    const heard = [...this.heard.values()].filter(({ heardAtMs }) => heardAtMs > sinceMs);
    return Math.max(heard.length + 1, this.listSummarised().size);
  }

  evictUnresponsive(): void {
    const nowMs = this.kernel.clock.nowMs();
    if (nowMs - this.evictedAtMs < MEMBER_OPTIONS.evictIntervalMs) return;
    this.evictedAtMs = nowMs;
    const evictBeforeMs = nowMs - MEMBER_OPTIONS.evictAfterMs;
    this.roster.evictOld();
    this.summaries.evictBefore(evictBeforeMs);
    this.missing = undefined;
    [...this.heard]
      .filter(([, { heardAtMs }]) => heardAtMs < evictBeforeMs)
      .forEach(([vmId]) => {
        this.heard.delete(vmId);
        this.direct.delete(vmId);
        this.failedAtMs.delete(vmId);
        this.kernel.log.info('member evicted', { member: vmId });
      });
    const heard = new Set([...this.heard.values()].map(({ identityHash }) => identityHash));
    const summarised = this.listSummarised();
    [...this.identities.keys()]
      .filter((identityHash) => !heard.has(identityHash) && !summarised.has(identityHash))
      .forEach((identityHash) => this.identities.delete(identityHash));
  }

  /** Returns the hashes of the identities in fresh summaries. */
  private listSummarised(): ReadonlySet<number> {
    const fresh = this.summaries.listFresh(this.kernel.clock.nowMs());
    return new Set(fresh.flatMap(({ members }) => members));
  }

  private recordSummaryMembers({ members, takenAtMs }: FleetSummary): void {
    members.forEach((identityHash) => {
      const identity = this.identities.get(identityHash);
      if (identity) this.recordHeard(identityHash, identity, takenAtMs);
    });
  }

  private recordHeard(identityHash: number, identity: MemberIdentity, heardAtMs: number): void {
    const { vmId, incarnation, takesCallers } = identity;
    if (vmId === this.kernel.settings.vmId) return;
    this.roster.record(vmId, heardAtMs);
    const before = this.heard.get(vmId);
    if (before && before.heardAtMs > heardAtMs) return;
    this.heard.set(vmId, { identity, identityHash, heardAtMs });
    const isNew = before?.identity.incarnation !== incarnation;
    if (!isNew && before.identity.takesCallers === takesCallers) return;
    this.kernel.log.info('member', {
      member: vmId,
      incarnation,
      takesCallers,
      silentForMs: before ? Math.round(heardAtMs - before.heardAtMs) : undefined,
    });
  }
}
