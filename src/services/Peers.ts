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

/** Handles one type of message. Instances are registered in the kernel as `PeerHandler`. @public */
export abstract class PeerHandler<S extends z.ZodType = z.ZodType> {
  abstract readonly type: string;

  /** A message that does not match closes the link. */
  abstract readonly schema: S;

  /** Returns the reply, which is dropped when the sender expects none. */
  abstract handle(from: Peer, body: z.infer<S>): Promise<unknown>;
}

/** @public */
export abstract class Peers {
  /**
   * Sends a request and waits for its reply. Opens a link if there is none.
   * @param deadlineMs on this node's monotonic clock.
   * @throws ServingError `peer-unreachable`, or the error kind of the reply.
   */
  abstract call(vmId: VmId, type: string, body: unknown, deadlineMs: number): Promise<unknown>;

  /** Sends a message without a reply; it is dropped when the peer cannot be reached. */
  abstract send(vmId: VmId, type: string, body: unknown): void;

  /**
   * Opens a link to a node whose id is not known yet.
   * @throws ServingError `peer-unreachable`.
   */
  abstract connect(address: string): Promise<Peer>;

  /** Returns the nodes with an open link. */
  abstract listLinked(): ReadonlyArray<Peer>;
}
