/**
 * Mutual authentication of two nodes by the fleet key.
 *
 * Each side proves that it has the key by an HMAC over both greetings, so that a recorded proof can't
 * be replayed on another link. The HMAC covers the side that sends it, so that a proof can't be
 * reflected either.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { ServingError, type Incarnation, type VmId } from '../../core';
import type { Peer } from '../../services';
import {
  decodePeerGreeting,
  decodePeerProof,
  encodePeerGreeting,
  encodePeerProof,
  type PeerGreeting,
} from '../../wire';
import { PEER_OPTIONS } from './options';

const PURPOSE = 'bramleyvane peer link 1';
const NONCE_BYTES = 16;

/** @internal */
export type LinkSide = 'dialler' | 'acceptor';

/** @internal */
export interface HandshakeChannel {
  readonly side: LinkSide;
  readonly self: { readonly vmId: VmId; readonly incarnation: Incarnation };
  readonly fleetKey: string;
  readonly write: (data: Uint8Array) => void;
  /** Returns the next frame; undefined when the other side has closed the link. */
  readonly read: () => Promise<Uint8Array | undefined>;
}

function computeProof(
  fleetKey: string,
  prover: LinkSide,
  greetings: Readonly<Record<LinkSide, PeerGreeting>>,
): Buffer {
  const describe = ({ vmId, incarnation, nonce }: PeerGreeting): ReadonlyArray<string> => [
    vmId,
    incarnation,
    Buffer.from(nonce).toString('hex'),
  ];
  const text = [PURPOSE, prover, ...describe(greetings.dialler), ...describe(greetings.acceptor)];
  return createHmac('sha256', fleetKey).update(text.join('\n')).digest();
}

async function readFrame(channel: HandshakeChannel): Promise<Uint8Array> {
  const data = await channel.read();
  if (!data) {
    throw new ServingError('peer-unreachable', { detail: 'The link closed during the handshake.' });
  }
  if (data.length > PEER_OPTIONS.maxHandshakeFrameBytes) {
    throw new ServingError('malformed-request', { detail: 'The handshake frame is too large.' });
  }
  return data;
}

/**
 * Returns the node at the other end.
 * @throws ServingError `invalid-token` for a process without the key.
 */
export async function performHandshake(channel: HandshakeChannel): Promise<Peer> {
  const { side, self, fleetKey } = channel;
  const own: PeerGreeting = { version: 1, ...self, nonce: randomBytes(NONCE_BYTES) };
  channel.write(encodePeerGreeting(own));
  const other = decodePeerGreeting(await readFrame(channel));
  const otherSide = side === 'dialler' ? 'acceptor' : 'dialler';
  const greetings = { [side]: own, [otherSide]: other } as Record<LinkSide, PeerGreeting>;
  channel.write(encodePeerProof({ proof: computeProof(fleetKey, side, greetings) }));
  const { proof } = decodePeerProof(await readFrame(channel));
  if (!timingSafeEqual(proof, computeProof(fleetKey, otherSide, greetings))) {
    throw new ServingError('invalid-token', { detail: 'The process lacks the fleet key.' });
  }
  if (other.vmId === self.vmId) {
    throw new ServingError('invalid-token', { detail: 'The process uses the id of this VM.' });
  }
  return { vmId: other.vmId, incarnation: other.incarnation };
}
