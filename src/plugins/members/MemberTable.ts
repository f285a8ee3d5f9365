/**
 * The latest state of each other node, as received from that node itself.
 */
import type { EndpointId, VmId } from '../../core';
import type { Kernel } from '../../kernel';
import { Members, type EndpointLoad, type KnownMember, type MemberState } from '../../services';
import { MEMBER_OPTIONS } from './options';

interface MemberEntry {
  readonly state: MemberState;
  readonly receivedAtMs: number;
}

/** @internal */
export class MemberTable extends Members {
  private readonly members = new Map<VmId, MemberEntry>();

  private readonly announceListeners = new Set<() => void>();

  private updateListeners: ReadonlyArray<() => void> = [];

  constructor(private readonly kernel: Kernel) {
    super();
  }

  listLive(): ReadonlyArray<KnownMember> {
    return this.listAll().filter(
      ({ stateAgeMs }) => stateAgeMs < MEMBER_OPTIONS.unresponsiveAfterMs,
    );
  }

  /** All members that haven't been evicted, including unresponsive ones. */
  listAll(): ReadonlyArray<KnownMember> {
    const nowMs = this.kernel.clock.nowMs();
    return [...this.members.values()].map(({ state, receivedAtMs }) => ({
      ...state,
      stateAgeMs: nowMs - receivedAtMs,
    }));
  }

  find(vmId: VmId): MemberState | undefined {
    return this.members.get(vmId)?.state;
  }

  getStateAgeMs(vmId: VmId): number {
    const receivedAtMs = this.members.get(vmId)?.receivedAtMs ?? -Infinity;
    return this.kernel.clock.nowMs() - receivedAtMs;
  }

  getLoadOfOthers(endpointId: EndpointId): Omit<EndpointLoad, 'endpointId' | 'paceMs'> {
    return this.listLoads(endpointId).reduce(
      (sum, load) => ({
        requests: sum.requests + load.requests,
        heldTokens: sum.heldTokens + load.heldTokens,
        finalTokens: sum.finalTokens + load.finalTokens,
        pendingPrefillTokens: sum.pendingPrefillTokens + load.pendingPrefillTokens,
      }),
      { requests: 0, heldTokens: 0, finalTokens: 0, pendingPrefillTokens: 0 },
    );
  }

  listPacesMs(endpointId: EndpointId): ReadonlyArray<number> {
    return this.listLoads(endpointId)
      .map(({ paceMs }) => paceMs)
      .filter((paceMs) => paceMs !== undefined);
  }

  private listLoads(endpointId: EndpointId): ReadonlyArray<EndpointLoad> {
    const receivedSinceMs = this.kernel.clock.nowMs() - MEMBER_OPTIONS.maxLoadAgeMs;
    return [...this.members.values()]
      .filter(({ receivedAtMs }) => receivedAtMs > receivedSinceMs)
      .flatMap(({ state }) => state.loads.filter((load) => load.endpointId === endpointId));
  }

  onUpdate(listener: () => void): void {
    this.updateListeners = [...this.updateListeners, listener];
  }

  announce(): void {
    if (this.members.size <= MEMBER_OPTIONS.maxAnnounceMembers) this.announceToAll();
  }

  /** Announces to all members, however many they are. */
  announceToAll(): void {
    this.announceListeners.forEach((listener) => listener());
  }

  /** Calls the listener on each announcement until the signal aborts. */
  onAnnounce(listener: () => void, signal: AbortSignal): void {
    this.announceListeners.add(listener);
    signal.addEventListener('abort', () => this.announceListeners.delete(listener), { once: true });
  }

  /** Stores the state that a node sent, unless a newer one is known; times are monotonic. */
  update(state: MemberState, receivedAtMs: number): void {
    const before = this.members.get(state.vmId);
    if (before && before.receivedAtMs > receivedAtMs) return;
    this.members.set(state.vmId, { state, receivedAtMs });
    const isNewIncarnation = before?.state.incarnation !== state.incarnation;
    if (isNewIncarnation || before.state.takesCallers !== state.takesCallers) {
      this.kernel.log.info('member', {
        member: state.vmId,
        incarnation: state.incarnation,
        takesCallers: state.takesCallers,
        silentForMs: before ? Math.round(receivedAtMs - before.receivedAtMs) : undefined,
      });
    }
    this.updateListeners.forEach((listener) => listener());
  }

  evictUnresponsive(): void {
    this.listAll()
      .filter(({ stateAgeMs }) => stateAgeMs > MEMBER_OPTIONS.evictAfterMs)
      .forEach(({ vmId }) => {
        this.members.delete(vmId);
        this.kernel.log.info('member evicted', { member: vmId });
      });
  }
}
