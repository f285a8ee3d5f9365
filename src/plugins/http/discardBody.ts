/**
 * Reads a request body to its end without keeping it.
 *
 * An answer sent while the caller is still writing may be lost to it: the connection is then reset
 * before it has read the answer.
 */
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import type { Clock } from '../../core';
import { HTTP_OPTIONS } from './options';

/** Returns when the body has ended, the connection has closed, or the time limit has passed. */
export async function discardBody(incoming: IncomingMessage, clock: Clock): Promise<void> {
  if (incoming.complete || incoming.destroyed) return;
  const over = new AbortController();
  const isEnded = once(incoming, 'end', { signal: over.signal }).catch(() => {});
  const isClosed = once(incoming, 'close', { signal: over.signal }).catch(() => {});
  incoming.resume();
  await Promise.race([isEnded, isClosed, clock.sleep(HTTP_OPTIONS.discardTimeoutMs, over.signal)]);
  over.abort();
}
