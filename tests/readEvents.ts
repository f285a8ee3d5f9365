/**
 * Reads an event stream as a caller does, without a client library.
 */
import { parseEventStream, type StreamEvent } from '../src/wire';

/** @internal */
export interface ReadStream {
  readonly events: ReadonlyArray<StreamEvent>;
  /** Text of the tokens, joined. */
  readonly text: string;
  readonly error: Readonly<Record<string, unknown>> | undefined;
  readonly isDone: boolean;
  readonly lastEventId: string;
  readonly token: string;
  /** Whether the connection broke. */
  readonly isCut: boolean;
}

interface Chunk {
  readonly choices: ReadonlyArray<{ readonly delta: { readonly content: string } }>;
}

/** Reads to the end of the stream, or disconnects after `limit` events. @internal */
export async function readEvents(response: Response, limit = Infinity): Promise<ReadStream> {
  const events: StreamEvent[] = [];
  let isCut = false;
  try {
    for await (const event of parseEventStream(response.body ?? new ReadableStream())) {
      events.push(event);
      if (events.length >= limit) break;
    }
  } catch {
    isCut = true;
  }
  const tokens = events.filter(({ event, data }) => event === undefined && data !== '[DONE]');
  const error = events.find(({ event }) => event === 'error');
  return {
    events,
    text: tokens.map(({ data }) => (JSON.parse(data) as Chunk).choices[0]?.delta.content).join(' '),
    error: error && JSON.parse(error.data),
    isDone: events.at(-1)?.data === '[DONE]',
    lastEventId: events.at(-1)?.id ?? '',
    token: response.headers.get('x-generation-token') ?? '',
    isCut,
  };
}
