/**
 * Reads a request body to its end and discards it.
 *
 * When a response is sent while the caller is still writing, the connection may be reset before the
 * caller has read the response.
 */
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import type { Clock } from '../../core';
import { HTTP_OPTIONS } from './options';

/** Resolves when the body has ended, the connection has closed, or the timeout has passed. */
export async function discardBody(incoming: IncomingMessage, clock: Clock): Promise<void> {
  if (incoming.complete || incoming.destroyed) return;
  const finished = new AbortController();
  const ended = once(incoming, 'end', { signal: finished.signal }).catch(() => {});
  const closed = once(incoming, 'close', { signal: finished.signal }).catch(() => {});
  incoming.resume();
  await Promise.race([ended, closed, clock.sleep(HTTP_OPTIONS.discardTimeoutMs, finished.signal)]);
  finished.abort();
}
