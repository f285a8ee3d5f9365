/**
 * Clients outside the limits of the pages, against a node with the memory of the smallest VM. What is
 * checked doesn't depend on the speed of the machine.
 *
 * Crowd and bounds: CROWD connections are a sixth of what the descriptors of the smallest VM allow
 * (2,212 less 200 reserved); its memory is that of the VM as played.
 */
import { appendFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Socket } from 'node:net';
import { ClientCrowd, writeWithoutEnd, type ClientScript } from './ClientCrowd';
import { callFront, HOST } from './FrontFixture';
import { RawCaller } from './RawCaller';
import { MAX_DESCRIPTORS, RestrictedNode, VM_MEMORY_BYTES } from './RestrictedNode';
import { waitUntil } from './waitUntil';

const CROWD = 330;

/** More clients than the process has descriptors. */
const CROWD_OVER_DESCRIPTORS = 400;

const CROWD_MS = 5_000;

const LEGAL_HEAD_BYTES = 16_384;

let node: RestrictedNode | undefined;
let crowd: ClientCrowd | undefined;

afterEach(async () => {
  crowd?.close();
  await node?.stop();
  node = undefined;
});

let lastRequest = 0;

function createHead(requestLine: string, ...lines: ReadonlyArray<string>): string {
  lastRequest += 1;
  return [
    `${requestLine} HTTP/1.1`,
    `Host: ${HOST}`,
    'Authorization: Token key-1',
    `X-Bramleyvane-Request-Id: crowd-${lastRequest}`,
    ...lines,
    '',
  ].join('\r\n');
}

/** Lines of a head, all with names of their own, up to a size. */
function createLines(bytes: number): string {
  const lines: string[] = [];
  for (let size = 0, index = 0; ; index += 1) {
    const line = `${index.toString(36)}:\r\n`;
    size += line.length;
    if (size > bytes) return lines.join('');
    lines.push(line);
  }
}

/** A head of legal size with as many lines as fit in. */
function createManyLines(requestLine: string): string {
  const head = createHead(requestLine);
  return `${head}${createLines(LEGAL_HEAD_BYTES - head.length - 2)}`;
}

const CRLF = Buffer.from('\r\n');
const CHUNKED = 'Transfer-Encoding: chunked';
const LINES = Buffer.from(createLines(65_536));
const EMPTY_LINES = Buffer.from('\r\n'.repeat(32_768));
const BYTE_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(10_000));
const EXTENSIONS = Buffer.from(';a=b'.repeat(16_000));
const BODY = Buffer.alloc(65_536, 'x');

/** All of them together are several times what the node may hold. */
const LONG_BODY = Buffer.alloc(1_000_000, 'x');
const LONG_BODY_CROWD = 100;

function sendSlowly(socket: Socket, text: string): void {
  let position = 0;
  const timer = setInterval(() => {
    socket.write(text.charAt(position % text.length));
    position += 1;
  }, 10);
  socket.once('close', () => clearInterval(timer));
}

const SCRIPTS: Readonly<Record<string, ClientScript>> = {
  'trailers without end': (socket) => {
    socket.write(`${createHead('POST /lookup/a', CHUNKED)}\r\n1\r\nx\r\n0\r\n`);
    writeWithoutEnd(socket, () => LINES);
  },
  'chunk extensions without end': (socket) => {
    socket.write(`${createHead('POST /lookup/a', CHUNKED)}\r\n1`);
    writeWithoutEnd(socket, () => EXTENSIONS);
  },
  'chunks of one byte without end': (socket) => {
    socket.write(`${createHead('POST /stuck/a', CHUNKED)}\r\n`);
    writeWithoutEnd(socket, () => BYTE_CHUNKS);
  },
  'a body of one-byte chunks that stops': (socket) => {
    socket.write(`${createHead('POST /lookup/a', CHUNKED)}\r\n`);
    socket.write(Buffer.concat(Array.from({ length: 6 }, () => BYTE_CHUNKS)));
  },
  'legal heads of very many lines': (socket) => {
    socket.write(`${createManyLines('GET /slow/a')}\r\n`);
  },
  'a legal head that stops before its end': (socket) => {
    socket.write(createManyLines('GET /lookup/a'));
  },
  'a head over the limit': (socket) => {
    socket.write(`${createHead('GET /lookup/a')}${createLines(60_000)}\r\n`);
  },
  'a head without end': (socket) => {
    socket.write(createHead('GET /lookup/a'));
    writeWithoutEnd(socket, () => LINES);
  },
  'a line without end': (socket) => {
    socket.write(`${createHead('GET /lookup/a')}A: `);
    writeWithoutEnd(socket, () => BODY);
  },
  'empty lines without end': (socket) => {
    writeWithoutEnd(socket, () => EMPTY_LINES);
  },
  'bytes one at a time': (socket) => {
    sendSlowly(socket, createManyLines('POST /lookup/a'));
  },
  'bodies announced and not sent': (socket) => {
    socket.write(`${createHead('POST /lookup/a', 'Content-Length: 4000000')}\r\n`);
  },
  'bodies faster than the endpoint takes them': (socket) => {
    socket.write(`${createHead('POST /stuck/a', CHUNKED)}\r\n`);
    writeWithoutEnd(socket, () => Buffer.concat([Buffer.from('10000\r\n'), BODY, CRLF]));
  },
  'answers that the client does not read': (socket) => {
    socket.pause();
    for (let count = 0; count < 30; count += 1) {
      socket.write(`${createHead('GET /large/a')}\r\n`);
    }
  },
  'pipelined requests without reading': (socket) => {
    socket.pause();
    writeWithoutEnd(socket, () => `${createHead('GET /lookup/a')}\r\n`.repeat(100));
  },
  'connections that stay idle': () => {},
  'connections reset at once': (socket) => {
    socket.write(createHead('GET /lookup/a'));
    socket.resetAndDestroy();
  },
};

/** Each client plays another script. */
function mixScripts(): ClientScript {
  const scripts = Object.values(SCRIPTS);
  return (socket, index) => scripts[index % scripts.length]!(socket, index);
}

async function playCrowd(address: string, script: ClientScript, clients: number): Promise<void> {
  crowd = new ClientCrowd(address, script, true);
  crowd.open(clients);
  await sleep(CROWD_MS);
}

/** Appends what was measured to the file that CROWD_REPORT names. */
function report(running: RestrictedNode): void {
  const { maxDescriptors, peakMemoryBytes } = running;
  const file = process.env.CROWD_REPORT;
  if (file === undefined) return;
  const { currentTestName } = expect.getState();
  const peakMiB = Math.round(peakMemoryBytes / 1_048_576);
  const { hasEnded } = running.process;
  const line = { test: currentTestName, hasEnded, peakMiB, maxDescriptors };
  appendFileSync(file, `${JSON.stringify(line)}\n`);
}

/** The bounds of each class, and an ordinary caller who is answered afterwards. */
async function expectSoundNode(running: RestrictedNode, maxDescriptors: number): Promise<void> {
  crowd?.close();
  report(running);
  expect(running.process.hasEnded).toBe(false);
  await waitUntil('an ordinary answer', async () => (await running.call('/lookup/last')) === 200);
  expect(running.peakMemoryBytes).toBeLessThan(VM_MEMORY_BYTES);
  expect(running.maxDescriptors).toBeLessThan(maxDescriptors);
}

/** Descriptors of the smallest VM without those that are reserved for files. */
const VM_DESCRIPTORS = 2_012;

// Guards against clients outside the limits that fill the memory of a node, so that it ends.
test.each(Object.entries(SCRIPTS))('survives %s', async (_name, script) => {
  node = await RestrictedNode.start();
  await playCrowd(node.settings.node.callerAddress, script, CROWD);
  await expectSoundNode(node, VM_DESCRIPTORS);
});

// Guards against bodies within the limits that fill the memory of a node, as they are kept to be sent
// again until their requests are answered.
test('survives long bodies that are kept', async () => {
  node = await RestrictedNode.start();
  const head = `${createHead('POST /slow/a', `Content-Length: ${LONG_BODY.length}`)}\r\n`;
  await playCrowd(
    node.settings.node.callerAddress,
    (socket) => {
      socket.write(head);
      socket.write(LONG_BODY);
    },
    LONG_BODY_CROWD,
  );
  await expectSoundNode(node, VM_DESCRIPTORS);
});

// Guards against a crowd whose parts add up, beside an ordinary caller who asks all the while.
test('survives all of them at once', async () => {
  node = await RestrictedNode.start();
  const asking = waitUntil('the end of the crowd', async () => {
    await node?.call('/lookup/beside');
    return crowd?.openConnections === 0;
  });
  await playCrowd(node.settings.node.callerAddress, mixScripts(), CROWD);
  await expectSoundNode(node, VM_DESCRIPTORS);
  await asking;
});

// Guards against connections that use up the descriptors which a node needs for its endpoints.
test('answers beside more idle connections than descriptors', async () => {
  node = await RestrictedNode.start(MAX_DESCRIPTORS);
  await playCrowd(node.settings.node.callerAddress, () => {}, CROWD_OVER_DESCRIPTORS);
  await waitUntil('an ordinary answer', async () => (await node?.call('/lookup/a')) === 200);
  await expectSoundNode(node, MAX_DESCRIPTORS);
});

// Guards against a door beside that of the callers, whose clients have no limits at all.
test.each([
  ['directory', ({ directoryAddress }: RestrictedNode['settings']) => directoryAddress!],
  ['readiness', ({ readinessAddress }: RestrictedNode['settings']) => readinessAddress],
  ['operator', ({ node: { operatorAddress } }: RestrictedNode['settings']) => operatorAddress],
  ['peer', ({ node: { peerAddress } }: RestrictedNode['settings']) => peerAddress],
])('survives all of them at the %s door', async (_name, getAddress) => {
  node = await RestrictedNode.start(MAX_DESCRIPTORS);
  await playCrowd(getAddress(node.settings), mixScripts(), CROWD_OVER_DESCRIPTORS);
  await waitUntil('an ordinary answer', async () => (await node?.call('/lookup/a')) === 200);
  await expectSoundNode(node, MAX_DESCRIPTORS);
});

// Guards against lines that the parser drops, and against limits that a legal request meets.
test('passes on every line of the longest legal head', async () => {
  node = await RestrictedNode.start();
  const head = `${createManyLines('GET /lines/a')}\r\n`;
  const caller = new RawCaller(node);
  caller.write(head);
  await waitUntil('the answer', () => caller.received.includes(' lines'));
  const received = Number(/(\d+) lines/.exec(caller.received)?.[1]);
  // The line with the key and the empty line stay behind; the node adds lines of its own.
  expect(received).toBeGreaterThanOrEqual(head.split('\r\n').length - 3);
  expect(caller.received).toContain('HTTP/1.1 200');
});

// Guards against a legal head that is refused for its separators: only names and values count.
test('passes on a legal head of lines of one byte', async () => {
  node = await RestrictedNode.start();
  const caller = new RawCaller(node);
  caller.write(`${createHead('GET /lines/a')}${'a:\r\n'.repeat(12_000)}\r\n`);
  await waitUntil('the answer', () => caller.received.includes('HTTP/1.1 '));
  await waitUntil('the lines', () => caller.received.includes(' lines'));
  expect(Number(/(\d+) lines/.exec(caller.received)?.[1])).toBeGreaterThan(12_000);
});

// Guards against a legal body that is refused since its framing is long and its bytes come slowly.
test('serves a slow body in chunks of one byte', async () => {
  node = await RestrictedNode.start();
  const caller = new RawCaller(node);
  caller.write(`${createHead('POST /lookup/a', CHUNKED)}\r\n`);
  for (let count = 0; count < 300; count += 1) {
    caller.write('1\r\nx\r\n');
    await sleep(5);
  }
  caller.write('0\r\n\r\n');
  await waitUntil('the answer', () => caller.received.includes('HTTP/1.1 200'));
  const [received] = node.fixture.engines[0]!.receivedRequests.slice(-1);
  expect(received?.body).toBe('x'.repeat(300));
});

// Guards against a limit that cuts the body of a caller who stays inside all limits.
test('serves the longest legal body', async () => {
  node = await RestrictedNode.start();
  const body = 'x'.repeat(4_194_304);
  const { status } = await callFront(node, '/lookup/a', { method: 'POST', body });
  expect(status).toBe(200);
});
