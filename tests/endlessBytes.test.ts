import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import {
  callFront,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
} from './FrontFixture';
import { waitUntil } from './waitUntil';

const CHUNK = Buffer.alloc(65_536, 'x');

/** Far less than an endpoint sends within the deadline of a request. */
const MAX_GROWTH_BYTES = 96 * 1_048_576;

let fixture: FrontFixture;
let server: Server | undefined;
const sockets = new Set<Socket>();

afterEach(async () => {
  sockets.forEach((socket) => socket.destroy());
  sockets.clear();
  server?.close();
  await fixture.stop();
});

/** Writes without end, as fast as the other side reads. */
function flood(socket: Socket, chunk: Buffer): void {
  const write = (): void => {
    let isAccepted = true;
    while (isAccepted && !socket.destroyed) isAccepted = socket.write(chunk);
  };
  socket.on('drain', write);
  write();
}

/** Starts an endpoint that answers each request with a beginning and then bytes without end. */
async function addFloodingEndpoint(
  service: string,
  beginning: string,
  chunk: Buffer,
): Promise<void> {
  server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', (data) => {
      const requestId = /x-bramleyvane-request-id: *(\S+)/i.exec(data.toString())?.[1] ?? '';
      socket.write(beginning.replace('REQUEST-ID', requestId));
      flood(socket, chunk);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  fixture.store.put('servers/i-flood', {
    service,
    address: `127.0.0.1:${port}`,
    zone: 'brisbane',
    slots: 4,
    state: 'ready',
    coldRemainingMs: 0,
    born: 1,
  });
}

const HEAD =
  'HTTP/1.1 200 OK\r\nX-Bramleyvane-Request-Id: REQUEST-ID\r\nX-Bramleyvane-Server-Seal: s\r\n';

const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

const REFUSAL =
  'HTTP/1.1 503 Busy\r\nX-Bramleyvane-Request-Id: REQUEST-ID\r\nX-Bramleyvane-Not-Executed: 1\r\n';

const CHUNKED_REFUSAL = `${REFUSAL}Transfer-Encoding: chunked\r\n\r\n`;

/** Returns as many repetitions of a text as have the size of a chunk. */
const repeat = (text: string): Buffer => Buffer.from(text.repeat(CHUNK.length / text.length));

// Guards against an endpoint in trouble that fills the memory of a node, or keeps a request for ever.
test.each([
  ['bytes that are no answer', '/lookup/a', 'desk', 'no answer at all '],
  ['a head without end', '/lookup/a', 'desk', `${HEAD}X-More: `],
  ['a stream event without end', '/label/a', 'writers', `${HEAD}\r\nid: 1\ndata: `],
  ['an answer with an encoding', '/lookup/a', 'desk', `${HEAD}Content-Encoding: gzip\r\n\r\n`],
  ['bytes after an answer', '/lookup/a', 'desk', `${HEAD}Content-Length: 5\r\n\r\nwhole`],
  ['short lines of a head without end', '/lookup/a', 'desk', HEAD, repeat('a: b\r\n')],
  ['interim heads without end', '/lookup/a', 'desk', '', repeat('HTTP/1.1 103 Hints\r\n\r\n')],
  ['a refusal without end', '/lookup/a', 'desk', `${REFUSAL}\r\n`],
  ['chunks of a refusal without end', '/lookup/a', 'desk', CHUNKED_REFUSAL, repeat('1\r\nx\r\n')],
  ['a chunk extension without end', '/lookup/a', 'desk', `${CHUNKED}5;`],
  ['trailers without end', '/lookup/a', 'desk', `${CHUNKED}5\r\nwhole\r\n0\r\nX-More: `],
])('bounds %s', async (name, target, service, beginning, chunk = CHUNK) => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  await addFloodingEndpoint(service, beginning, chunk);
  const node = await fixture.addReadyNode(1);
  const before = process.memoryUsage().rss;
  const isStream = service === 'writers';
  const call = callFront(node, target, {
    method: isStream ? 'POST' : 'GET',
    headers: isStream ? GENERATION_HEADERS : {},
  }).then(
    ({ status, text }) => ({ status, text }),
    () => ({ status: 0, text: '' }),
  );
  const { status, text } = await call;
  if (name === 'bytes after an answer') {
    expect({ status, text }).toEqual({ status: 200, text: 'whole' });
  } else expect(status).not.toBe(200);
  await waitUntil('the end of the connections', () => sockets.size === 0);
  expect(process.memoryUsage().rss - before).toBeLessThan(MAX_GROWTH_BYTES);
});
