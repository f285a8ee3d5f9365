/**
 * Server-sent events (WHATWG HTML, section 9.2): encoding for callers, parsing from engines.
 */
import { ServingError } from '../core';

/** Longest event; an engine in trouble may send one without end. */
const MAX_EVENT_CHARS = 1_048_576;

/** @public */
export interface StreamEvent {
  readonly id?: string;
  readonly event?: string;
  readonly data: string;
}

/** @public */
export function formatEvent({ id, event, data }: StreamEvent): string {
  const lines = [
    ...(id === undefined ? [] : [`id: ${id}`]),
    ...(event === undefined ? [] : [`event: ${event}`]),
    ...data.split('\n').map((line) => `data: ${line}`),
  ];
  return `${lines.join('\n')}\n\n`;
}

function parseBlock(block: string): StreamEvent | undefined {
  let id: string | undefined;
  let event: string | undefined;
  const data: string[] = [];
  for (const line of block.split('\n')) {
    const colon = line.indexOf(':');
    if (colon === 0) continue;
    const field = colon < 0 ? line : line.slice(0, colon);
    const value = colon < 0 ? '' : line.slice(colon + 1).replace(/^ /, '');
    if (field === 'id') id = value;
    if (field === 'event') event = value;
    if (field === 'data') data.push(value);
  }
  return data.length === 0 ? undefined : { id, event, data: data.join('\n') };
}

/**
 * Yields each complete event; drops an incomplete one at the end of the stream.
 * @throws ServingError `endpoint-failed` when an event is longer than an event may be.
 * @public
 */
export async function* parseEventStream(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<StreamEvent> {
  const decoder = new TextDecoder();
  let pending = '';
  for await (const chunk of chunks) {
    pending += decoder.decode(chunk, { stream: true }).replaceAll('\r\n', '\n');
    for (let end = pending.indexOf('\n\n'); end >= 0; end = pending.indexOf('\n\n')) {
      const event = parseBlock(pending.slice(0, end));
      pending = pending.slice(end + 2);
      if (event) yield event;
    }
    if (pending.length > MAX_EVENT_CHARS) {
      throw new ServingError('endpoint-failed', { detail: 'An event of the stream is too long.' });
    }
  }
}
