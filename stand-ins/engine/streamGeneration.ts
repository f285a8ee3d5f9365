/**
 * Streams a generation as server-sent events, from any position to its end.
 */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { EngineGeneration } from './EngineGeneration';
import { getOutputToken } from './outputTokens';

const CANCELLED = { error: { message: 'the generation was cancelled' } } as const;

async function write(outgoing: ServerResponse, text: string, signal: AbortSignal): Promise<void> {
  if (outgoing.write(text)) return;
  // A slow reader pauses only its own stream; the generation continues.
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
  // No [DONE] after a cancellation, so that no reader takes the output for complete.
  outgoing.end(
    generation.endReason === 'cancelled'
      ? `event: error\ndata: ${JSON.stringify(CANCELLED)}\n\n`
      : `id: ${position}\ndata: [DONE]\n\n`,
  );
}

/** Attaches a reader and serves it until the generation ends or the reader disconnects. */
export async function streamGeneration(
  generation: EngineGeneration,
  fromPosition: number,
  outgoing: ServerResponse,
  stopping: AbortSignal,
): Promise<void> {
  const disconnected = new AbortController();
  outgoing.once('close', () => disconnected.abort());
  const signal = AbortSignal.any([disconnected.signal, stopping]);
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
