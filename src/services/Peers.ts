/**
 * Links to the other nodes of the fleet.
 */
import type { z } from 'zod';
import type { Incarnation, VmId } from '../core';

/** The authenticated node at the other end of a link. @public */
export interface Peer {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
}

/** Handles one type of message. Subclasses are provided to the kernel as `PeerHandler`. @public */
export abstract class PeerHandler<S extends z.ZodType = z.ZodType> {
  abstract readonly type: string;

  /** Messages that don't match close the link. */
  abstract readonly schema: S;

  /** The value returned is the reply, or is dropped when the sender wants none. */
  abstract handle(from: Peer, body: z.infer<S>): Promise<unknown>;
}

/** @public */
export abstract class Peers {
  /**
   * Sends a request and waits for its reply. Opens a link where there is none.
   * @param deadlineMs on this node's monotonic clock.
   * @throws ServingError `peer-unreachable`, or the kind that the peer answered.
   */
  abstract call(vmId: VmId, type: string, body: unknown, deadlineMs: number): Promise<unknown>;

  /** Sends without a reply; dropped when the peer can't be reached. */
  abstract send(vmId: VmId, type: string, body: unknown): void;

  /**
   * Opens a link to a node of which only the address is known.
   * @throws ServingError `peer-unreachable`.
   */
  abstract connect(address: string): Promise<Peer>;

  /** Nodes with an open link. */
  abstract listLinked(): ReadonlyArray<Peer>;
}
