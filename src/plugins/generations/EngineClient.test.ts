/**
 * Tests the client of engines against one that sends without end.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { GenerationId } from '../../core';
import type { FleetEndpoint, GenerationRequest } from '../../services';
import { EngineClient } from './EngineClient';

const CHUNK = Buffer.alloc(65_536, 'x');

/** The engine gives up here, so that a fault doesn't fill the memory of the test. */
const FLOOD_BYTES = 64 * 1_048_576;

/** What the sockets and the client may hold together. */
const MAX_READ_BYTES = 16 * 1_048_576;

const REQUEST = {
  path: 'completions',
  body: {},
  clause: { kind: { rank: 1 } },
} as unknown as GenerationRequest;

let server: Server;
let sentBytes = 0;

afterEach(async () => {
  server.close();
  await once(server, 'close');
});

/** Writes as fast as the other side reads. */
function flood(socket: Socket): void {
  const write = (): void => {
    let isAccepted = true;
    while (isAccepted && !socket.destroyed && sentBytes < FLOOD_BYTES) {
      sentBytes += CHUNK.length;
      isAccepted = socket.write(CHUNK);
    }
    if (sentBytes >= FLOOD_BYTES) socket.end();
  };
  socket.on('drain', write);
  write();
}

async function startEngine(beginning: string): Promise<FleetEndpoint> {
  sentBytes = 0;
  server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(beginning);
      flood(socket);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return { endpointId: 'engine-1', vm: { url: `http://127.0.0.1:${port}` } } as FleetEndpoint;
}

// Guards against a node that keeps all that an engine in trouble sends, and ends with the requests of
// others when its memory is full.
test.each([
  ['a refusal', 'HTTP/1.1 500 Internal Server Error\r\n\r\n'],
  ['an event', 'HTTP/1.1 200 OK\r\n\r\ndata: '],
])('%s without end is read up to a bound', async (_name, beginning) => {
  const client = new EngineClient();
  const endpoint = await startEngine(beginning);
  const read = async (): Promise<number> => {
    const { signal } = new AbortController();
    const { events } = await client.open(endpoint, 'g-1' as GenerationId, REQUEST, signal);
    let count = 0;
    for await (const event of events) count += event.data.length;
    return count;
  };
  await expect(read()).rejects.toThrow();
  await client.close();
  expect(sentBytes).toBeLessThan(MAX_READ_BYTES);
});
