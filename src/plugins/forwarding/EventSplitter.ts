/**
 * Splits the bytes of an event stream into whole events, unchanged.
 *
 * Only whole events reach the caller, so that another engine can go on after the last of them.
 */

/** @internal */
export interface CompleteEvents {
  /** The bytes of all events that have become complete. */
  readonly bytes: Uint8Array;
  readonly count: number;
  /** Id of the last one that has an id. */
  readonly lastEventId: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** End of the last blank line, or 0. */
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

  /** Bytes of an event that isn't complete. */
  get rest(): Uint8Array {
    return this.pending;
  }

  push(chunk: Uint8Array): CompleteEvents | undefined {
    const bytes =
      this.pending.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.pending, chunk]);
    const end = findLastEventEnd(bytes);
    this.pending = bytes.subarray(end);
    if (end === 0) return undefined;
    const whole = bytes.subarray(0, end);
    const text = whole.toString('latin1');
    const ids = [...text.matchAll(/^id: ?([^\r\n]*)/gm)];
    return {
      bytes: whole,
      count: (text.match(/\n\r?\n/g) ?? []).length,
      lastEventId: ids.at(-1)?.[1],
    };
  }
}
