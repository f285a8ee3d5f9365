/**
 * Bounds what a connection to the peers' port may send before it is authenticated. A frame is only
 * seen when it is complete, and until then nobody knows who sends it.
 */
import type { Socket } from 'node:net';
import { PEER_OPTIONS } from './options';

/** Returns a function that ends the limit. */
export function limitHandshake(socket: Socket, onExceeded: () => void): () => void {
  let receivedBytes = 0;
  const count = (bytes: Buffer): void => {
    receivedBytes += bytes.length;
    if (receivedBytes <= PEER_OPTIONS.maxHandshakeBytes) return;
    onExceeded();
    socket.destroy();
  };
  socket.on('data', count);
  return () => socket.off('data', count);
}
