/**
 * What the plug-ins see of the fleet: the live nodes, their load, and who reads from the source.
 */
import type { EndpointId, VmId } from '../../core';
import {
  chooseExchangePartners,
  type ExchangePartners,
  type LoadSum,
  type NodeRoster,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Members, SeedAddresses, type KnownMember } from '../../services';
import type { FleetLoads } from './FleetLoads';
import type { MemberTable } from './MemberTable';
import { SharingNodes } from './SharingNodes';
import type { StateExchange } from './StateExchange';
import { MEMBER_OPTIONS } from './options';

interface LiveList {
  readonly members: ReadonlyArray<KnownMember>;
  readonly listedAtMs: number;
}

/** @internal */
export class ExchangeMembers extends Members {
  private readonly announceListeners = new Set<() => void>();

  private updateListeners: ReadonlyArray<() => void> = [];

  private currentPartners: ExchangePartners = { role: 'mesh', partners: [], readers: [] };

  private live: LiveList = { members: [], listedAtMs: -Infinity };

  private readonly sharingNodes: SharingNodes;

  private readonly startedAtMs: number;

  constructor(
    private readonly kernel: Kernel,
    private readonly table: MemberTable,
    private readonly loads: FleetLoads,
    private readonly exchange: StateExchange,
  ) {
    super();
    this.sharingNodes = new SharingNodes(kernel);
    this.startedAtMs = kernel.clock.nowMs();
  }

  get partners(): ExchangePartners {
    return this.currentPartners;
  }

  /** Chooses the partners again, by what is known of the fleet now. */
  choosePartners(): void {
    const known = this.table.listCandidates();
    const others = known.filter(({ isLive }) => isLive);
    const silent = known.filter(({ isLive }) => !isLive);
    const self = { ...this.exchange.describeSelf(), hasFailed: false };
    const { role } = this.currentPartners;
    this.currentPartners = chooseExchangePartners(self, others, silent, this.exchange.isAsked);
    if (role === this.currentPartners.role) return;
    this.loads.invalidate();
    this.kernel.log.info('exchange role', {
      role: this.currentPartners.role,
      before: role,
      nodes: others.length + 1,
    });
  }

  listLive(): ReadonlyArray<KnownMember> {
    const nowMs = this.kernel.clock.nowMs();
    if (nowMs - this.live.listedAtMs < MEMBER_OPTIONS.liveListReuseMs) return this.live.members;
    const isMesh = this.partners.role === 'mesh';
    const members = isMesh ? this.table.listHeardDirectly() : this.table.listHeard();
    this.live = { members, listedAtMs: nowMs };
    return members;
  }

  countSharingNodes(): number {
    return this.sharingNodes.count(this.table.countNodes());
  }

  getRoster(): NodeRoster {
    return this.table.roster.describe();
  }

  getLoadOfOthers(endpointId: EndpointId): LoadSum {
    return this.loads.getLoadOfOthers(endpointId, this.partners.role);
  }

  getLoadAgeMs(): number {
    return this.loads.getAgeMs(this.partners.role);
  }

  readsSource(): boolean {
    const { partners, readers } = this.partners;
    if (partners.length > 0) return readers.length === 0;
    return this.kernel.clock.nowMs() - this.startedAtMs >= MEMBER_OPTIONS.discoveryMs;
  }

  readsForOthers(): boolean {
    const { partners, readers } = this.partners;
    return partners.length > 0 && readers.length === 0;
  }

  listReaders(): ReadonlyArray<VmId> {
    return this.partners.readers;
  }

  hasJoined(): boolean {
    return this.exchange.hasJoined || this.listOtherSeeds().length === 0;
  }

  onUpdate(listener: () => void): void {
    this.updateListeners = [...this.updateListeners, listener];
  }

  notifyUpdated(): void {
    this.updateListeners.forEach((listener) => listener());
  }

  announce(): void {
    if (this.partners.role === 'mesh') this.announceToPartners();
  }

  announceToPartners(): void {
    this.announceListeners.forEach((listener) => listener());
  }

  /** Returns the seeds other than this node. */
  listOtherSeeds(): ReadonlyArray<string> {
    return this.kernel
      .getAll(SeedAddresses)
      .flatMap((seeds) => seeds.listAddresses())
      .filter((address) => address !== this.kernel.settings.peerAddress);
  }

  /** Calls the listener on each announcement until the signal aborts. */
  onAnnounce(listener: () => void, signal: AbortSignal): void {
    this.announceListeners.add(listener);
    signal.addEventListener('abort', () => this.announceListeners.delete(listener), { once: true });
  }
}
