import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { SystemClock, type EndpointId } from '../../core';
import type { KnownBackEnd } from '../../services';
import type { EndpointResponse } from './EndpointResponse';
import { EndpointConnections } from './EndpointConnections';
import { FORWARDING_OPTIONS } from './options';

const clock = new SystemClock();
const servers: Server[] = [];
const { signal } = new AbortController();

afterEach(() => {
  servers.splice(0).forEach((server) => server.close());
});

type Behaviour = (socket: Socket, requests: number) => void;

async function startEndpoint(behave: Behaviour): Promise<KnownBackEnd> {
  const server = createServer((socket) => {
    let requests = 0;
    socket.on('error', () => {});
    socket.on('data', () => {
      requests += 1;
      behave(socket, requests);
    });
  });
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    endpointId: 'i-1' as EndpointId,
    address: `127.0.0.1:${port}`,
    startedAtWallMs: 1,
  } as KnownBackEnd;
}

async function send(
  connections: EndpointConnections,
  backEnd: KnownBackEnd,
): Promise<EndpointResponse> {
  const message = {
    method: 'GET',
    target: '/a',
    headers: [['Host', 'desk']],
    body: undefined,
  } as const;
  return connections.send(backEnd, message, signal);
}

async function readAll(answer: EndpointResponse): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of answer.read()) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

const WHOLE = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole';
const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\nhalf';

// Guards against a truncated response that is taken for a complete one. The HTTP client reports a
// reset as the end of a response that has no length.
test.each([
  ['reset without a length', UNFRAMED, 'reset'],
  ['reset in a length', WHOLE.slice(0, -2), 'reset'],
  ['closed in a length', WHOLE.slice(0, -2), 'close'],
  ['closed in a chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho', 'close'],
  [
    'closed before the last chunk',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n',
    'close',
  ],
])('a response %s is not complete', async (_name, bytes, end) => {
  const backEnd = await startEndpoint((socket) => {
    socket.write(bytes);
    setTimeout(() => (end === 'reset' ? socket.resetAndDestroy() : socket.end()), 30);
  });
  const answer = await send(new EndpointConnections(clock), backEnd);
  await expect(readAll(answer)).rejects.toThrow();
});

// Guards against the same truncation when the reset arrives together with the last bytes: Node.js
// then reports a regular end of the connection.
test('a response reset together with its last bytes is not complete', async () => {
  const backEnd = await startEndpoint((socket) => {
    socket.write(UNFRAMED, () => socket.resetAndDestroy());
  });
  const connections = new EndpointConnections(clock);
  const outcomes = await Promise.allSettled(
    Array.from({ length: 40 }, async () => readAll(await send(connections, backEnd))),
  );
  expect(outcomes.map(({ status }) => status)).not.toContain('fulfilled');
});

// Guards against a complete response that is taken for a truncated one.
test('a response without a length ends with its connection', async () => {
  const backEnd = await startEndpoint((socket) => {
    socket.end(UNFRAMED);
  });
  expect(await readAll(await send(new EndpointConnections(clock), backEnd))).toBe('half');
});

// Guards against a stray second response that is taken for the response to the next request.
test('bytes after a complete response close the connection', async () => {
  let opened = 0;
  const backEnd = await startEndpoint((socket, requests) => {
    if (requests === 1) opened += 1;
    socket.write(WHOLE);
    setTimeout(() => socket.write(WHOLE.replace('whole', 'stray')), 20);
  });
  const connections = new EndpointConnections(clock);
  expect(await readAll(await send(connections, backEnd))).toBe('whole');
  await clock.sleep(FORWARDING_OPTIONS.reuseDelayMs + 50);
  expect(await readAll(await send(connections, backEnd))).toBe('whole');
  expect(opened).toBe(2);
});

// Guards against a new connection for every request.
test('reuses a connection for the next request', async () => {
  let opened = 0;
  const backEnd = await startEndpoint((socket, requests) => {
    if (requests === 1) opened += 1;
    socket.write(WHOLE);
  });
  const connections = new EndpointConnections(clock);
  await readAll(await send(connections, backEnd));
  await clock.sleep(FORWARDING_OPTIONS.reuseDelayMs + 20);
  await readAll(await send(connections, backEnd));
  expect(opened).toBe(1);
});

// Guards against reporting a request as not run when the endpoint may have started it.
test('distinguishes an unwritten request from one that may have run', async () => {
  const connections = new EndpointConnections(clock);
  const silent = await startEndpoint((socket) => {
    socket.resetAndDestroy();
  });
  await expect(send(connections, silent)).rejects.toMatchObject({ kind: 'outcome-unknown' });
  const closed = { ...silent, address: '127.0.0.1:9' };
  await expect(send(connections, closed)).rejects.toMatchObject({ kind: 'endpoint-unreachable' });
  expect(connections.countBusy(closed)).toBe(0);
});

// Guards against an endpoint whose address can't be used and that then counts as busy for ever, and
// against a request that fails as an internal error although nothing was sent.
test.each(['127.0.0.1:70000', '127.0.0.256:80'])(
  'an unusable address %s is unreachable and keeps no place',
  async (address) => {
    const connections = new EndpointConnections(clock);
    const odd = { endpointId: 'i-1', address, startedAtWallMs: 1 } as KnownBackEnd;
    await expect(send(connections, odd)).rejects.toMatchObject({ kind: 'endpoint-unreachable' });
    expect(connections.countBusy(odd)).toBe(0);
  },
);
