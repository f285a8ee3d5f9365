/**
 * Tests the client of engines against one that sends without end.
 */
import { FloodingServer } from '../../../tests/FloodingServer';
import type { GenerationId } from '../../core';
import type { FleetEndpoint, GenerationRequest } from '../../services';
import { EngineClient } from './EngineClient';

/** What the sockets and the client may hold together. */
const MAX_READ_BYTES = 16 * 1_048_576;

const REQUEST = {
  path: 'completions',
  body: {},
  clause: { kind: { rank: 1 } },
} as unknown as GenerationRequest;

// Guards against a node that keeps all that an engine in trouble sends, and ends with the requests of
// others when its memory is full.
test.each([
  ['a refusal', 'HTTP/1.1 500 Internal Server Error\r\n\r\n'],
  ['an event', 'HTTP/1.1 200 OK\r\n\r\ndata: '],
])('%s without end is read up to a bound', async (_name, beginning) => {
  const client = new EngineClient();
  const engine = await FloodingServer.start(beginning);
  const endpoint = { endpointId: 'engine-1', vm: { url: engine.url } } as FleetEndpoint;
  const read = async (): Promise<number> => {
    const { signal } = new AbortController();
    const { events } = await client.open(endpoint, 'g-1' as GenerationId, REQUEST, signal);
    let count = 0;
    for await (const event of events) count += event.data.length;
    return count;
  };
  await expect(read()).rejects.toThrow();
  await client.close();
  await engine.stop();
  expect(engine.sentBytes).toBeLessThan(MAX_READ_BYTES);
});
