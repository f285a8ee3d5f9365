/**
 * Addresses at which nodes accept links.
 */
import type { VmId } from '../core';

/** @public */
export abstract class PeerDirectory {
  /** `ip:port`; undefined for a node that isn't known. */
  abstract findPeerAddress(vmId: VmId): string | undefined;
}
