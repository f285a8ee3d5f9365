/**
 * Membership without a central list: nodes find each other through seed addresses and exchange
 * their states and the addresses of the nodes they know.
 *
 * One task for each address joins the node there, then exchanges states with it until the node has
 * been unreachable for long enough to be evicted.
 */
import type { VmId } from '../../core';
import { Plugin, registerPlugin } from '../../kernel';
import {
  EntryDirectory,
  LoadSource,
  Members,
  PeerDirectory,
  PeerHandler,
  Peers,
  SeedAddresses,
  type MemberState,
  type Peer,
} from '../../services';
import { memberExchangeSchema, type MemberExchange } from './memberMessages';
import { MemberTable } from './MemberTable';
import { MEMBER_OPTIONS } from './options';

const MESSAGE_TYPE = 'member.exchange';

const MS_PER_SECOND = 1_000;

class MemberPeerDirectory extends PeerDirectory {
  constructor(private readonly table: MemberTable) {
    super();
  }

  findPeerAddress(vmId: VmId): string | undefined {
    return this.table.find(vmId)?.peerAddress;
  }
}

class ExchangeHandler extends PeerHandler<typeof memberExchangeSchema> {
  readonly type = MESSAGE_TYPE;

  readonly schema = memberExchangeSchema;

  constructor(private readonly plugin: MembersPlugin) {
    super();
  }

  async handle(_from: Peer, exchange: MemberExchange): Promise<unknown> {
    this.plugin.applyExchange(exchange);
    return this.plugin.createExchange();
  }
}

/** @internal */
export class MembersPlugin extends Plugin {
  static override readonly type = 'members';

  private readonly table = new MemberTable(this.kernel);

  /** Addresses with a running task. */
  private readonly tasks = new Set<string>();

  override setUp(): void {
    this.kernel.provide(Members, this.table);
    this.kernel.provide(PeerDirectory, new MemberPeerDirectory(this.table));
    this.kernel.provide(PeerHandler, new ExchangeHandler(this));
  }

  override async start(): Promise<void> {
    this.kernel.runTask('match member tasks', async (signal) => this.superviseTasks(signal));
  }

  override async drain(): Promise<void> {
    this.table.announceToAll();
  }

  /** Returns this node's state and the addresses of the live nodes it knows. */
  createExchange(): MemberExchange {
    const { settings, incarnation } = this.kernel;
    const self: MemberState = {
      vmId: settings.vmId,
      incarnation,
      dataCentre: settings.dataCentre,
      region: settings.region,
      peerAddress: settings.peerAddress,
      callerAddress: settings.callerAddress,
      takesCallers: this.kernel.get(EntryDirectory).takesCallers(),
      loads: this.kernel.getAll(LoadSource).flatMap((source) => source.listLoads()),
    };
    const loads = self.loads.map(
      ({ endpointId, requests, heldTokens, finalTokens, pendingPrefillTokens, paceMs }) =>
        [
          endpointId,
          requests,
          heldTokens,
          Math.round(finalTokens),
          pendingPrefillTokens,
          paceMs === undefined ? undefined : Math.round(paceMs),
        ] as const,
    );
    const knownAddresses = this.table.listLive().map(({ peerAddress }) => peerAddress);
    return { self: { ...self, loads }, knownAddresses };
  }

  applyExchange({ self, knownAddresses }: MemberExchange): void {
    const loads = self.loads.map(
      ([endpointId, requests, heldTokens, finalTokens, pendingPrefillTokens, paceMs]) => ({
        endpointId,
        requests,
        heldTokens,
        finalTokens,
        pendingPrefillTokens,
        paceMs,
      }),
    );
    this.table.update({ ...self, loads }, this.kernel.clock.nowMs());
    [self.peerAddress, ...knownAddresses].forEach((address) => this.startTask(address));
  }

  private async superviseTasks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.table.evictUnresponsive();
      this.kernel
        .getAll(SeedAddresses)
        .flatMap((seeds) => seeds.listAddresses())
        .forEach((address) => this.startTask(address));
      await this.kernel.clock.sleep(MEMBER_OPTIONS.superviseIntervalMs, signal);
    }
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
    const { clock } = this.kernel;
    let lastContactMs = clock.nowMs();
    let isAnnouncing = false;
    while (!signal.aborted && clock.nowMs() - lastContactMs < MEMBER_OPTIONS.evictAfterMs) {
      const vmId = this.findMemberId(address) ?? (await this.join(address));
      const isReachable = vmId !== undefined && (await this.keepContact(vmId, isAnnouncing));
      if (isReachable) lastContactMs = clock.nowMs();
      const delayMs = isReachable ? this.chooseIntervalMs() : MEMBER_OPTIONS.joinRetryIntervalMs;
      isAnnouncing = await this.waitForAnnouncement(delayMs, signal);
    }
  }

  /**
   * Exchanges states unless it is the other node's turn: an exchange updates both sides, so only the
   * node with the lower id starts it while both are reachable. Returns whether the node is reachable.
   */
  private async keepContact(vmId: VmId, isAnnouncing: boolean): Promise<boolean> {
    const isOurTurn = this.kernel.settings.vmId < vmId || isAnnouncing;
    const stateAgeMs = this.table.getStateAgeMs(vmId);
    if (!isOurTurn && stateAgeMs < MEMBER_OPTIONS.takeOverTurnAfterMs) return true;
    return this.exchange(vmId);
  }

  private findMemberId(address: string): VmId | undefined {
    return this.table.listAll().find(({ peerAddress }) => peerAddress === address)?.vmId;
  }

  private async join(address: string): Promise<VmId | undefined> {
    try {
      const { vmId, incarnation } = await this.kernel.get(Peers).connect(address);
      // Only the address and identity are known before the first exchange.
      const state = { ...this.createExchange().self, vmId, incarnation, peerAddress: address };
      const receivedAtMs = this.kernel.clock.nowMs() - MEMBER_OPTIONS.unresponsiveAfterMs;
      this.table.update({ ...state, takesCallers: false, loads: [] }, receivedAtMs);
      return vmId;
    } catch (thrown) {
      this.kernel.log.debug('member unreachable', { address, cause: thrown });
      return undefined;
    }
  }

  private async exchange(vmId: VmId): Promise<boolean> {
    const { clock, log } = this.kernel;
    try {
      const deadlineMs = clock.nowMs() + MEMBER_OPTIONS.callTimeoutMs;
      const peers = this.kernel.get(Peers);
      const reply = await peers.call(vmId, MESSAGE_TYPE, this.createExchange(), deadlineMs);
      this.applyExchange(memberExchangeSchema.parse(reply));
      return true;
    } catch (thrown) {
      log.debug('member exchange failed', { member: vmId, cause: thrown });
      return false;
    }
  }

  private chooseIntervalMs(): number {
    const { intervalMs, jitterShare, exchangesPerSecond } = MEMBER_OPTIONS;
    const factor = 1 + jitterShare * (2 * Math.random() - 1);
    return Math.max(intervalMs, (this.tasks.size * MS_PER_SECOND) / exchangesPerSecond) * factor;
  }

  /** Waits until the delay has passed or this node announces a change; returns whether it did. */
  private async waitForAnnouncement(delayMs: number, signal: AbortSignal): Promise<boolean> {
    const announced = new AbortController();
    const stop = (): void => announced.abort();
    const ended = AbortSignal.any([signal, announced.signal]);
    this.table.onAnnounce(stop, ended);
    await this.kernel.clock.sleep(delayMs, ended);
    const isAnnouncing = announced.signal.aborted;
    announced.abort();
    return isAnnouncing;
  }
}

registerPlugin(MembersPlugin);
