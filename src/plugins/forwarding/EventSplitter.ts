/**
 * Cuts an event stream at event boundaries; the bytes pass unchanged.
 *
 * The caller receives only complete events, so that another engine can continue after the last one.
 */
import { ServingError } from '../../core';
import { FORWARDING_OPTIONS } from './options';

/** @internal */
export interface CompleteEvents {
  /** Bytes of all events completed by this chunk. */
  readonly bytes: Uint8Array;
  readonly count: number;
  /** Id of the last event that has one. */
  readonly lastEventId: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Returns the offset after the last blank line, or 0 if there is none. */
function findLastEventEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== LINE_FEED) continue;
    const isBlank =
      bytes[index - 1] === LINE_FEED ||
      (bytes[index - 1] === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED);
    if (isBlank) return index + 1;
  }
  return 0;
}

/** @internal */
export class EventSplitter {
  private pending = Buffer.alloc(0);

  /** @throws ServingError `endpoint-failed` when the stream has ended inside an event. */
  checkEnd(): void {
    if (this.pending.length === 0) return;
    throw new ServingError('endpoint-failed', { detail: 'The stream ended inside an event.' });
  }

  /** @throws ServingError `endpoint-failed` when an event is longer than an event may be. */
  push(chunk: Uint8Array): CompleteEvents | undefined {
    const bytes =
      this.pending.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.pending, chunk]);
    const end = findLastEventEnd(bytes);
    this.pending = bytes.subarray(end);
    if (this.pending.length > FORWARDING_OPTIONS.maxEventBytes) {
      throw new ServingError('endpoint-failed', { detail: 'An event of the stream is too long.' });
    }
    if (end === 0) return undefined;
    const complete = bytes.subarray(0, end);
    const text = complete.toString('latin1');
    const ids = [...text.matchAll(/^id: ?([^\r\n]*)/gm)];
    return {
      bytes: complete,
      count: (text.match(/\n\r?\n/g) ?? []).length,
      lastEventId: ids.at(-1)?.[1],
    };
  }
}
