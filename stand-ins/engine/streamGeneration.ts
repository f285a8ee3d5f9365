/**
 * Server-sent events of one generation, from any position to its end.
 */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { EngineGeneration } from './EngineGeneration';
import { getOutputToken } from './outputTokens';

const CANCELLED = { error: { message: 'the generation was cancelled' } } as const;

async function write(outgoing: ServerResponse, text: string, signal: AbortSignal): Promise<void> {
  if (outgoing.write(text)) return;
  // The reader is slow; the generation goes on without it.
  await once(outgoing, 'drain', { signal });
}

async function writeEvents(
  generation: EngineGeneration,
  fromPosition: number,
  outgoing: ServerResponse,
  signal: AbortSignal,
): Promise<void> {
  const { metadata, format } = generation;
  let position = fromPosition;
  while (await generation.waitForToken(position, signal)) {
    const text = getOutputToken(metadata.generationId, position);
    const reason = generation.getFinishReason(position);
    const data = format.formatChunk(metadata, text, position, reason);
    await write(outgoing, `id: ${position}\ndata: ${data}\n\n`, signal);
    position += 1;
  }
  if (signal.aborted || !generation.endReason) return;
  // Without a proper end, nobody takes a cancelled generation for a whole one.
  outgoing.end(
    generation.endReason === 'cancelled'
      ? `event: error\ndata: ${JSON.stringify(CANCELLED)}\n\n`
      : `id: ${position}\ndata: [DONE]\n\n`,
  );
}

/** Attaches a reader and serves it until the generation ends or the reader goes away. */
export async function streamGeneration(
  generation: EngineGeneration,
  fromPosition: number,
  outgoing: ServerResponse,
  stopping: AbortSignal,
): Promise<void> {
  const closing = new AbortController();
  outgoing.once('close', () => closing.abort());
  const signal = AbortSignal.any([closing.signal, stopping]);
  outgoing.writeHead(200, {
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-store',
    etag: generation.attach(),
    'x-request-id': generation.metadata.generationId,
  });
  outgoing.flushHeaders();
  try {
    await writeEvents(generation, fromPosition, outgoing, signal);
  } catch (thrown) {
    if (!signal.aborted) throw thrown;
  }
}
