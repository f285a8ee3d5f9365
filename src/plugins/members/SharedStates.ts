/**
 * Exchange of the states that plug-ins share, in the messages by which nodes exchange their loads.
 *
 * A node tells which revision of its own content it has, and which of the other node's it has
 * merged. The content is sent only to a node that lacks the newest revision, so that an exchange
 * carries a few bytes while nothing changes, and none while there is no content.
 */
import { EvictingMap, type Incarnation, type VmId } from '../../core';
import type { Kernel } from '../../kernel';
import { SharedState, type Peer } from '../../services';
import type { SharedStateMessage } from './memberMessages';
import { MEMBER_OPTIONS } from './options';

interface PeerRevisions {
  readonly incarnation: Incarnation;
  /** Revision of the peer's content that this node has merged, by type. */
  readonly merged: ReadonlyMap<string, number>;
  /** Revision of this node's content that the peer has merged, by type. */
  readonly acknowledged: ReadonlyMap<string, number>;
}

/** @internal */
export class SharedStates {
  private readonly peers = new EvictingMap<VmId, PeerRevisions>(MEMBER_OPTIONS.maxSharingPeers);

  constructor(private readonly kernel: Kernel) {}

  /** Creates the messages for a node, without content that it is known to have. */
  encodeFor(vmId: VmId): ReadonlyArray<SharedStateMessage> {
    const known = this.peers.get(vmId);
    return this.kernel.getAll(SharedState).flatMap((state) => {
      const { type, revision } = state;
      const merged = known?.merged.get(type) ?? 0;
      if (revision === 0 && merged === 0) return [];
      const isCurrent = revision === 0 || known?.acknowledged.get(type) === revision;
      return [[type, revision, merged, isCurrent ? undefined : state.encode()] as const];
    });
  }

  /**
   * Merges the messages of a node; returns whether this one then has all that the other has.
   * @param takenAtMs monotonic time at or before which the messages were created.
   */
  apply(from: Peer, messages: ReadonlyArray<SharedStateMessage>, takenAtMs: number): boolean {
    const known = this.peers.get(from.vmId);
    const isSame = known?.incarnation === from.incarnation;
    const merged = new Map(isSame ? known.merged : []);
    messages.forEach(([type, revision, , content]) => {
      if (content === undefined || !this.merge(from, type, content, takenAtMs)) return;
      merged.set(type, revision);
    });
    const acknowledged = new Map(
      messages.map(([type, , acknowledgedRevision]) => [type, acknowledgedRevision]),
    );
    this.peers.setNewest(from.vmId, { incarnation: from.incarnation, merged, acknowledged });
    return messages.every(([type, revision]) => revision === (merged.get(type) ?? 0));
  }

  private merge(from: Peer, type: string, content: unknown, takenAtMs: number): boolean {
    const state = this.kernel.getAll(SharedState).find((each) => each.type === type);
    const parsed = state?.schema.safeParse(content);
    if (!state || !parsed?.success) {
      this.kernel.log.warn('shared state ignored', { type, peer: from.vmId, cause: parsed?.error });
      return false;
    }
    state.merge(parsed.data, takenAtMs);
    return true;
  }
}
