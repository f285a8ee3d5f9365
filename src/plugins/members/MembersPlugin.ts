/**
 * Membership without a central list: nodes find each other through seed addresses and exchange
 * their states, in a small fleet each with each other, in a larger one over a few aggregators.
 *
 * One task for each address exchanges states with the node there as long as it is a partner or a
 * seed.
 */
import { ServingError, type VmId } from '../../core';
import { Plugin, registerPlugin } from '../../kernel';
import {
  GaugeSource,
  Members,
  PeerDirectory,
  PeerHandler,
  Peers,
  SharedState,
  type Peer,
} from '../../services';
import { ExchangeMembers } from './ExchangeMembers';
import { FleetLoads } from './FleetLoads';
import {
  exchangeReplySchema,
  exchangeRequestSchema,
  type ExchangeReply,
  type ExchangeRequest,
} from './memberMessages';
import { MemberGauges } from './MemberGauges';
import { MemberTable } from './MemberTable';
import { MEMBER_OPTIONS } from './options';
import { SharedRoster } from './SharedRoster';
import { StateExchange } from './StateExchange';

const MESSAGE_TYPE = 'member.exchange';

/** Reason of the abort that ends a wait. */
const ENDED = 'ended';

class MemberPeerDirectory extends PeerDirectory {
  constructor(private readonly table: MemberTable) {
    super();
  }

  findPeerAddress(vmId: VmId): string | undefined {
    return this.table.find(vmId)?.peerAddress;
  }
}

class ExchangeHandler extends PeerHandler<typeof exchangeRequestSchema> {
  readonly type = MESSAGE_TYPE;

  readonly schema = exchangeRequestSchema;

  constructor(
    private readonly members: ExchangeMembers,
    private readonly exchange: StateExchange,
  ) {
    super();
  }

  async handle(from: Peer, request: ExchangeRequest): Promise<ExchangeReply> {
    const reply = this.exchange.answer(this.members.partners.role, from, request);
    this.members.notifyUpdated();
    return reply;
  }
}

/** @internal */
export class MembersPlugin extends Plugin {
  static override readonly type = 'members';

  private readonly table = new MemberTable(this.kernel);

  private readonly loads = new FleetLoads(this.kernel, this.table);

  private readonly exchange = new StateExchange(this.kernel, this.table, this.loads);

  private readonly members = new ExchangeMembers(
    this.kernel,
    this.table,
    this.loads,
    this.exchange,
  );

  /** Addresses with a running task. */
  private readonly tasks = new Set<string>();

  override setUp(): void {
    this.kernel.provide(Members, this.members);
    this.kernel.provide(SharedState, new SharedRoster(this.kernel, this.table.roster));
    this.kernel.provide(GaugeSource, new MemberGauges(this.members));
    this.kernel.provide(PeerDirectory, new MemberPeerDirectory(this.table));
    this.kernel.provide(PeerHandler, new ExchangeHandler(this.members, this.exchange));
  }

  override async start(): Promise<void> {
    this.kernel.runTask('match member tasks', async (signal) => this.superviseTasks(signal));
  }

  override async drain(): Promise<void> {
    this.members.announceToPartners();
  }

  private async superviseTasks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.table.evictUnresponsive();
      this.table.roster.followSeeds();
      this.members.choosePartners();
      this.listAddresses().forEach((address) => this.startTask(address));
      await this.kernel.clock.sleep(MEMBER_OPTIONS.superviseIntervalMs, signal);
    }
  }

  /** Returns the peer addresses of the partners, and of the seeds if this node has to find others. */
  private listAddresses(): ReadonlyArray<string> {
    const { role, partners } = this.members.partners;
    const addresses = partners.flatMap((vmId) => this.table.find(vmId)?.peerAddress ?? []);
    const needsSeeds = role !== 'member' || partners.length === 0;
    return needsSeeds ? [...addresses, ...this.members.listOtherSeeds()] : addresses;
  }

  private startTask(address: string): void {
    if (address === this.kernel.settings.peerAddress || this.tasks.has(address)) return;
    this.tasks.add(address);
    this.kernel.runTask(`member at ${address}`, async (signal) => {
      try {
        await this.runMember(address, signal);
      } finally {
        this.tasks.delete(address);
      }
    });
  }

  private async runMember(address: string, signal: AbortSignal): Promise<void> {
    let isAnnouncing = false;
    while (!signal.aborted && this.listAddresses().includes(address)) {
      const vmId = this.table.findByAddress(address)?.vmId ?? (await this.join(address));
      const isReachable = vmId !== undefined && (await this.keepContact(vmId, isAnnouncing));
      if (vmId && !isReachable) this.table.recordFailure(vmId);
      isAnnouncing = await this.waitForAnnouncement(this.chooseDelayMs(vmId, isReachable), signal);
    }
  }

  /**
   * Exchanges states unless it is the other node's turn: an exchange updates both sides, so among
   * nodes that are each other's partners only the one with the lower id starts it. Returns whether
   * the node is reachable.
   */
  private async keepContact(vmId: VmId, isAnnouncing: boolean): Promise<boolean> {
    const isMutual = this.members.partners.role !== 'member';
    const isOurTurn = !isMutual || this.kernel.settings.vmId < vmId || isAnnouncing;
    const ageMs = this.table.getDirectAgeMs(vmId);
    if (!isOurTurn && ageMs < MEMBER_OPTIONS.takeOverTurnAfterMs) return true;
    return this.runExchange(vmId);
  }

  private async join(address: string): Promise<VmId | undefined> {
    try {
      return (await this.kernel.get(Peers).connect(address)).vmId;
    } catch (thrown) {
      this.kernel.log.debug('member unreachable', { address, cause: thrown });
      return undefined;
    }
  }

  private async runExchange(vmId: VmId): Promise<boolean> {
    try {
      for (let round = 0; round < MEMBER_OPTIONS.maxFetchRounds; round += 1) {
        await this.exchangeOnce(vmId);
        if (this.table.listMissingIdentities().length === 0) break;
      }
      return true;
    } catch (thrown) {
      this.kernel.log.debug('member exchange failed', { member: vmId, cause: thrown });
      return false;
    }
  }

  private async exchangeOnce(vmId: VmId): Promise<void> {
    const { clock } = this.kernel;
    const sentAtMs = clock.nowMs();
    const { role, partners } = this.members.partners;
    const request = this.exchange.createRequest(
      vmId,
      role,
      role === 'member' && vmId === partners[0],
    );
    const peers = this.kernel.get(Peers);
    const deadlineMs = sentAtMs + MEMBER_OPTIONS.callTimeoutMs;
    const answer = await peers.call(vmId, MESSAGE_TYPE, request, deadlineMs);
    const peer = peers.listLinked().find((linked) => linked.vmId === vmId);
    if (!peer) throw new ServingError('peer-unreachable', { detail: `The link to ${vmId} ended.` });
    this.exchange.applyReply(peer, exchangeReplySchema.parse(answer), sentAtMs);
    this.members.notifyUpdated();
  }

  private chooseDelayMs(vmId: VmId | undefined, isReachable: boolean): number {
    const { intervalMs, seedIntervalMs, joinRetryIntervalMs, jitterShare } = MEMBER_OPTIONS;
    if (!isReachable) return joinRetryIntervalMs;
    const { role, partners } = this.members.partners;
    const isPartner = vmId !== undefined && partners.includes(vmId);
    const delayMs = isPartner || role === 'mesh' ? intervalMs : seedIntervalMs;
    return delayMs * (1 + jitterShare * (2 * Math.random() - 1));
  }

  /** Waits until the delay has passed or this node announces a change; returns whether it did. */
  private async waitForAnnouncement(delayMs: number, signal: AbortSignal): Promise<boolean> {
    const announced = new AbortController();
    // Without a reason, each abort would create an error with a stack trace.
    const stop = (): void => announced.abort(ENDED);
    const ended = AbortSignal.any([signal, announced.signal]);
    this.members.onAnnounce(stop, ended);
    await this.kernel.clock.sleep(delayMs, ended);
    const isAnnouncing = announced.signal.aborted;
    announced.abort(ENDED);
    return isAnnouncing;
  }
}

registerPlugin(MembersPlugin);
