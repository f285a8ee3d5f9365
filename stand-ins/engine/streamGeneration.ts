/**
 * Server-sent events of one generation, from any position to its end.
 */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { EngineGeneration } from './EngineGeneration';
import { getOutputToken } from './outputTokens';

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
  const { facts, format } = generation;
  let position = fromPosition;
  while (await generation.waitForToken(position, signal)) {
    const data = format.formatToken(facts, getOutputToken(facts.generationId, position), position);
    await write(outgoing, `id: ${position}\ndata: ${data}\n\n`, signal);
    position += 1;
  }
  if (signal.aborted || !generation.endReason) return;
  await write(outgoing, `data: ${format.formatEnd(facts, generation.endReason)}\n\n`, signal);
  outgoing.end('data: [DONE]\n\n');
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
    'x-request-id': generation.facts.generationId,
  });
  outgoing.flushHeaders();
  try {
    await writeEvents(generation, fromPosition, outgoing, signal);
  } catch (thrown) {
    if (!signal.aborted) throw thrown;
  }
}
