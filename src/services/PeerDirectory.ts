/**
 * Directory of the addresses at which nodes accept links.
 */
import type { VmId } from '../core';

/** @public */
export abstract class PeerDirectory {
  /** Returns `ip:port`; undefined for an unknown node. */
  abstract findPeerAddress(vmId: VmId): string | undefined;
}
