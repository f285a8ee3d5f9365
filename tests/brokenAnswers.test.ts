import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { FORWARDING_OPTIONS } from '../src/plugins/forwarding/options';
import {
  callFront,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  type FrontNode,
} from './FrontFixture';

let fixture: FrontFixture;
let servers: ReadonlyArray<Server> = [];
let sockets: ReadonlyArray<Socket> = [];

beforeEach(async () => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  servers = [];
  sockets = [];
});

afterEach(async () => {
  sockets.forEach((socket) => socket.destroy());
  servers.forEach((server) => server.close());
  await fixture.stop();
});

type Answer = (socket: Socket, requestId: string, requests: number, server: Server) => void;

/** Starts an endpoint whose answers a test writes byte for byte. */
async function addRawEndpoint(service: string, answer: Answer, slots = 4): Promise<void> {
  const instanceId = `i-raw-${servers.length}`;
  const server = createServer((socket) => {
    sockets = [...sockets, socket];
    socket.on('error', () => {});
    let requests = 0;
    socket.on('data', (data) => {
      const requestId = /x-bramleyvane-request-id: *(\S+)/i.exec(data.toString())?.[1];
      if (requestId === undefined) return;
      requests += 1;
      answer(socket, requestId, requests, server);
    });
  });
  servers = [...servers, server];
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  fixture.store.put(`servers/${instanceId}`, {
    service,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    zone: 'brisbane',
    slots,
    state: 'ready',
    coldRemainingMs: 0,
    born: 1,
  });
}

const createHead = (requestId: string, rest: string): string =>
  `HTTP/1.1 200 OK\r\nX-Bramleyvane-Request-Id: ${requestId}\r\n` +
  `X-Bramleyvane-Server-Seal: seal\r\n${rest}`;

const REFUSAL =
  'HTTP/1.1 503 Busy\r\nX-Bramleyvane-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy';

const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

interface Outcome {
  readonly status: number;
  readonly text: string;
}

/** Status 0 stands for an answer that was cut. */
async function call(node: FrontNode, target: string): Promise<Outcome> {
  const isCredit = target.startsWith('/credit');
  const headers = isCredit ? {} : GENERATION_HEADERS;
  return callFront(node, target, { method: 'POST', headers }).then(
    ({ status, text }) => ({ status, text }),
    () => ({ status: 0, text: '' }),
  );
}

// Guards against a caller that is told "not run" for a call that an endpoint has run, or a second run
// of it, because the endpoint writes an earlier refusal once more on a kept connection.
test.each(['without an id', 'with its old id'])(
  'a refusal repeated %s is no answer',
  async (kind) => {
    let ran = 0;
    await addRawEndpoint('desk', (socket, requestId, requests) => {
      const id = kind === 'without an id' ? '' : `X-Bramleyvane-Request-Id: request-0\r\n`;
      const refusal = REFUSAL.replace('Content-Length', `${id}Content-Length`);
      if (requests > 1) {
        ran += 1;
        socket.write(refusal);
        return;
      }
      socket.write(createHead(requestId, 'Content-Length: 5\r\n\r\nwhole'));
    });
    const node = await fixture.addReadyNode(1);
    expect(await call(node, '/credit/a')).toEqual({ status: 200, text: 'whole' });
    await sleep(FORWARDING_OPTIONS.reuseDelayMs + 50);
    expect((await call(node, '/credit/a')).status).toBe(502);
    expect(ran).toBe(1);
  },
);

// Guards against an error of the next engine in the middle of a stream, and against a stream that
// ends as if it were complete.
test.each([
  [
    'an error',
    'HTTP/1.1 500 Failed\r\nX-Bramleyvane-Request-Id: ID\r\nContent-Length: 5\r\n\r\nwrong',
  ],
  ['a refusal', REFUSAL],
  [
    'a text',
    'HTTP/1.1 200 OK\r\nX-Bramleyvane-Request-Id: ID\r\nX-Bramleyvane-Server-Seal: s\r\nContent-Length: 5\r\n\r\nwrong',
  ],
  ['nothing', ''],
])('a stream that breaks off and meets %s is cut', async (_name, next) => {
  let streams = 0;
  const answer: Answer = (socket, requestId) => {
    streams += 1;
    if (streams > 1) {
      socket.end(next.replace('ID', requestId));
      return;
    }
    socket.write(createHead(requestId, `Transfer-Encoding: chunked\r\n\r\n`));
    socket.write(`${EVENTS.length.toString(16)}\r\n${EVENTS}\r\n`);
    setTimeout(() => socket.destroy(), 50);
  };
  await addRawEndpoint('writers', answer);
  await addRawEndpoint('writers', answer);
  const node = await fixture.addReadyNode(2);
  const outcome = await call(node, '/label/a');
  expect(streams).toBe(2);
  expect(outcome).toEqual({ status: 0, text: '' });
});

const FULL_HEAD = createHead('ID', 'Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n');

// Guards against a success with an empty or short body, framed as whole, when an endpoint stops in
// the middle of its head and closes.
test.each(
  [10, 17, 40, 70, 100, FULL_HEAD.length - 4, FULL_HEAD.length - 2, FULL_HEAD.length - 1].flatMap(
    (length) => ['/credit/a', '/label/a'].map((target) => [length, target] as const),
  ),
)('a head cut after %i bytes at %s is no answer', async (length, target) => {
  const answer: Answer = (socket, requestId) => {
    socket.end(FULL_HEAD.slice(0, length).replace('ID', requestId));
  };
  await addRawEndpoint(target.startsWith('/credit') ? 'desk' : 'writers', answer);
  const node = await fixture.addReadyNode(1);
  expect((await call(node, target)).status).toBe(502);
});

// Guards against a stream without a length that is taken for complete where its engine broke off:
// inside an event, or at its end because the engine crashed.
test.each([
  ['inside an event', 'id: 3\ndata: c', false],
  ['after a crash', '', true],
])('a stream without a length that ends %s is cut', async (_name, rest, isCrash) => {
  await addRawEndpoint('writers', (socket, requestId, _requests, server) => {
    if (isCrash) server.close();
    socket.end(createHead(requestId, `\r\n${EVENTS}${rest}`));
  });
  const node = await fixture.addReadyNode(1);
  expect((await call(node, '/report/a')).status).toBe(0);
});

// Guards against cutting a stream that is complete.
test('a stream without a length ends with its connection', async () => {
  await addRawEndpoint('writers', (socket, requestId) => {
    socket.end(createHead(requestId, `\r\n${EVENTS}`));
  });
  const node = await fixture.addReadyNode(1);
  expect(await call(node, '/report/a')).toEqual({ status: 200, text: EVENTS });
});

// Guards against a short answer of a call that is taken for whole because its endpoint crashed.
test('an answer without a length whose endpoint crashes is lost', async () => {
  await addRawEndpoint('desk', (socket, requestId, _requests, server) => {
    server.close();
    socket.end(createHead(requestId, '\r\nhal'));
  });
  const node = await fixture.addReadyNode(1);
  expect((await call(node, '/credit/a')).status).toBe(502);
});

// Guards against "not run" after a first attempt that was lost and may have run.
test('a lost attempt followed by a refusal is not reported as not run', async () => {
  let attempts = 0;
  const answer: Answer = (socket) => {
    attempts += 1;
    if (attempts === 1) socket.resetAndDestroy();
    else socket.end(REFUSAL);
  };
  await addRawEndpoint('writers', answer);
  await addRawEndpoint('writers', answer);
  const node = await fixture.addReadyNode(2);
  expect((await call(node, '/label/a')).status).toBe(502);
  expect(attempts).toBe(2);
});

// Guards against "not run" of a stream that began without output and broke off, with no engine left.
test('a begun stream without another engine is not reported as not run', async () => {
  await addRawEndpoint('writers', (socket, requestId) => {
    socket.write(createHead(requestId, 'Transfer-Encoding: chunked\r\n\r\n'));
    setTimeout(() => socket.destroy(), 50);
  });
  const node = await fixture.addReadyNode(1);
  expect((await call(node, '/label/a')).status).toBe(502);
});

// Guards against "not run" for a call whose only attempt was lost after a hedge had found no endpoint.
test('a lost attempt with a hedge that finds no endpoint is not reported as not run', async () => {
  await addRawEndpoint('desk', (socket) => {
    setTimeout(() => socket.resetAndDestroy(), 800);
  });
  const node = await fixture.addReadyNode(1);
  const { status } = await call(node, '/lookup/a');
  expect(node.lines.some(({ step, outcome }) => step === 'retry' && outcome === 'refuse')).toBe(
    true,
  );
  expect(status).toBe(502);
});

const ODD_STATUSES = ['000', '001', '099', '100', '101', '199', '600', '999'];
const ROUTES = ['/lookup/a', '/credit/a', '/report/a', '/label/a'];

// Guards against an answer that reaches the caller as one although its status is none of a final answer,
// such as 000, or that keeps the caller waiting.
test.each(ROUTES.flatMap((target) => ODD_STATUSES.map((status) => [status, target] as const)))(
  'status %s is no answer at %s',
  async (status, target) => {
    const answer: Answer = (socket, requestId) => {
      const head = createHead(requestId, 'Content-Length: 5\r\n\r\nwhole');
      socket.write(head.replace('200 OK', `${status} Odd`));
    };
    await addRawEndpoint('desk', answer);
    await addRawEndpoint('writers', answer);
    const node = await fixture.addReadyNode(2);
    const { status: answered, text } = await call(node, target);
    expect(answered).toBe(502);
    expect(JSON.parse(text)).toMatchObject({ error: { kind: 'answer-lost', run: 'unknown' } });
  },
);

// Guards against giving up a request that may be repeated because one endpoint answers with an odd status.
test.each(['000', '600'])('a call is repeated after status %s', async (status) => {
  let calls = 0;
  const answer: Answer = (socket, requestId) => {
    calls += 1;
    const head = createHead(requestId, 'Content-Length: 5\r\n\r\nwhole');
    socket.write(calls === 1 ? head.replace('200 OK', `${status} Odd`) : head);
  };
  await addRawEndpoint('desk', answer);
  await addRawEndpoint('desk', answer);
  const node = await fixture.addReadyNode(2);
  expect(await call(node, '/lookup/a')).toEqual({ status: 200, text: 'whole' });
  expect(calls).toBe(2);
});
