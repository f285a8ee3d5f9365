/**
 * All nodes that may be running, whether or not this node hears from them.
 *
 * Nodes share their lists, so that a node that starts in one part of a divided fleet also knows the
 * nodes of the other part. A node that vanished stays listed for long, as it may have been cut off and
 * still be sending requests.
 *
 * Seeds that all restart while they are cut off can't know that there are other nodes, and divide the
 * quota among themselves. So a node has no share while it hears from no seed.
 */
import type { VmId } from '../../core';
import type { NodeRoster } from '../../decisions';
import type { Kernel } from '../../kernel';
import { SeedAddresses } from '../../services';
import { MEMBER_OPTIONS } from './options';

/** @internal */
export interface RosterEntry {
  readonly vmId: VmId;
  readonly heardAtMs: number;
}

/** @internal */
export class FleetRoster {
  private readonly heardAtMs = new Map<VmId, number>();

  /** When the list became complete; undefined before. */
  private completeAtMs: number | undefined;

  private changes = 0;

  /** Newest sign of any other seed when the seeds were last followed. */
  private seedSignAtMs = -Infinity;

  /** When a seed was heard of again after a silence of all of them. */
  private seedsBackAtMs = -Infinity;

  /** Reused for a short time, as each placement asks for it. */
  private described: { readonly roster: NodeRoster; readonly atMs: number } | undefined;

  /** @param getHeardAtMs returns when the node at a peer address was last heard of. */
  constructor(
    private readonly kernel: Kernel,
    private readonly getHeardAtMs: (peerAddress: string) => number | undefined,
  ) {}

  /** Grows with each node that is added and when the list is proven to be complete. */
  get revision(): number {
    return this.changes;
  }

  /** Whether the list contains all nodes that ran when this node joined. */
  get isComplete(): boolean {
    return this.completeAtMs !== undefined;
  }

  record(vmId: VmId, heardAtMs: number): void {
    const { clock, settings } = this.kernel;
    if (vmId === settings.vmId) return;
    if (clock.nowMs() - heardAtMs > MEMBER_OPTIONS.rosterRetentionMs) return;
    const before = this.heardAtMs.get(vmId);
    if (before !== undefined && before >= heardAtMs) return;
    this.heardAtMs.set(vmId, heardAtMs);
    if (before !== undefined) return;
    this.changes += 1;
    this.described = undefined;
  }

  /** Records that a node whose list is complete has shared it, or that all seeds were heard of. */
  markComplete(): void {
    if (this.isComplete) return;
    this.completeAtMs = this.kernel.clock.nowMs();
    this.changes += 1;
    this.described = undefined;
    this.kernel.log.info('roster complete', { nodes: this.heardAtMs.size + 1 });
  }

  list(): ReadonlyArray<RosterEntry> {
    return [...this.heardAtMs].map(([vmId, heardAtMs]) => ({ vmId, heardAtMs }));
  }

  evictOld(): void {
    const beforeMs = this.kernel.clock.nowMs() - MEMBER_OPTIONS.rosterRetentionMs;
    this.list()
      .filter(({ heardAtMs }) => heardAtMs < beforeMs)
      .forEach(({ vmId }) => this.heardAtMs.delete(vmId));
  }

  /** Notices that all seeds were heard of, or are again; to be called more often than they fall silent. */
  followSeeds(): void {
    const nowMs = this.kernel.clock.nowMs();
    const { unheardAfterMs } = MEMBER_OPTIONS;
    const signsMs = this.listSeedSigns();
    if (signsMs.every((signMs) => nowMs - signMs <= unheardAfterMs)) this.markComplete();
    if (this.haveSeedsReturned()) {
      this.seedsBackAtMs = nowMs;
      this.described = undefined;
    }
    this.seedSignAtMs = Math.max(...signsMs);
  }

  describe(): NodeRoster {
    const nowMs = this.kernel.clock.nowMs();
    const { liveListReuseMs, unheardAfterMs } = MEMBER_OPTIONS;
    if (this.described && nowMs - this.described.atMs < liveListReuseMs) {
      return this.described.roster;
    }
    const entries = this.list();
    const roster = {
      vmIds: [this.kernel.settings.vmId, ...entries.map(({ vmId }) => vmId)],
      unheardCount: entries.filter(({ heardAtMs }) => nowMs - heardAtMs > unheardAfterMs).length,
      isComplete: this.listSeeds().length === 0 || (this.isSettled() && this.isInTouch()),
    };
    this.described = { roster, atMs: nowMs };
    return roster;
  }

  private isSettled(): boolean {
    const sinceMs = Math.max(this.completeAtMs ?? Infinity, this.seedsBackAtMs);
    return this.kernel.clock.nowMs() > sinceMs + MEMBER_OPTIONS.rosterSettleMs;
  }

  /** Whether this node is a seed, or has heard from one lately and without a gap. */
  private isInTouch(): boolean {
    if (this.isSeed()) return true;
    const ageMs = this.kernel.clock.nowMs() - Math.max(...this.listSeedSigns());
    return ageMs <= MEMBER_OPTIONS.unheardAfterMs && !this.haveSeedsReturned();
  }

  private haveSeedsReturned(): boolean {
    if (this.isSeed()) return false;
    const newestMs = Math.max(...this.listSeedSigns());
    return newestMs - this.seedSignAtMs > MEMBER_OPTIONS.unheardAfterMs;
  }

  private isSeed(): boolean {
    return this.listSeeds().includes(this.kernel.settings.peerAddress);
  }

  /** Returns when each other seed was last heard of; minus infinity if it wasn't. */
  private listSeedSigns(): ReadonlyArray<number> {
    return this.listSeeds()
      .filter((address) => address !== this.kernel.settings.peerAddress)
      .map((address) => this.getHeardAtMs(address) ?? -Infinity);
  }

  private listSeeds(): ReadonlyArray<string> {
    return this.kernel.getAll(SeedAddresses).flatMap((seeds) => seeds.listAddresses());
  }
}
