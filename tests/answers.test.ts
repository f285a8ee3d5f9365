/**
 * Every request that was read gets one answer, or its caller has left.
 */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { WholeDelivery } from '../src/plugins/forwarding/WholeDelivery';
import { Deployment, Members, Quarantine, RequestDialect, ServingMetrics } from '../src/services';
import { CallerConnection } from './CallerConnection';
import {
  callFront,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  type FrontNode,
} from './FrontFixture';
import { waitUntil } from './waitUntil';

let fixture: FrontFixture;
let servers: ReadonlyArray<Server> = [];
let callers: ReadonlyArray<CallerConnection> = [];

beforeEach(async () => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  servers = [];
  callers = [];
});

afterEach(async () => {
  jest.restoreAllMocks();
  callers.forEach((caller) => caller.close());
  await fixture.stop();
  servers.forEach((server) => server.close());
});

async function openCaller(node: FrontNode): Promise<CallerConnection> {
  const caller = await CallerConnection.open(node.settings.node.callerAddress);
  callers = [...callers, caller];
  return caller;
}

async function applyConfiguration(
  { kernel }: FrontNode,
  configuration: Readonly<Record<string, unknown>>,
): Promise<void> {
  fixture.store.put('op/config', configuration);
  await waitUntil(
    'the new configuration',
    () => kernel.get(Deployment).configuration?.version === configuration.version,
  );
}

/** Longest time that an answer may take beyond the deadline of its request. */
const LATE_MS = 500;

const BRIEF = { 'x-bramleyvane-deadline-ms': '300' };

// Guards against an error thrown while an error is answered: its caller got no answer, and the
// rejected promise of the task ended the whole process.
test.each([
  ['headers of the answer', RequestDialect, 'writeAnswerHeaders', 404],
  ['metrics', ServingMetrics, 'countRefusal', 404],
  ['head of the request', RequestDialect, 'readRequest', 500],
] as const)('an error thrown in the %s is answered', async (_name, key, method, expected) => {
  const node = await fixture.addReadyNode(0);
  const caller = await openCaller(node);
  jest.spyOn(node.kernel.get<object>(key), method as never).mockImplementation(() => {
    throw new Error('an error that nothing expects');
  });
  let rejected = 0;
  const count = (): void => {
    rejected += 1;
  };
  process.on('unhandledRejection', count);
  caller.send('/nowhere/a');
  const status = await Promise.race([caller.readStatus(), sleep(2_000, 0)]);
  process.off('unhandledRejection', count);
  expect({ status, rejected }).toEqual({ status: expected, rejected: 0 });
});

// Guards against a request that is left without an answer, and without a sign of it, by a task that
// ends too early or never.
test.each(['task ended', 'overdue'])(
  'a request whose %s is answered and counted',
  async (cause) => {
    const node = await fixture.addReadyNode(0);
    const metrics = node.kernel.get(ServingMetrics);
    jest
      .spyOn(WholeDelivery.prototype, 'deliver')
      .mockReturnValue(cause === 'overdue' ? new Promise(() => {}) : Promise.resolve());
    const caller = await openCaller(node);
    caller.send('/credit/a', BRIEF);
    expect(await caller.readStatus()).toBe(cause === 'overdue' ? 503 : 500);
    const line = node.lines.find(({ event }) => event === 'request ended without an answer');
    expect(line).toMatchObject({ cause, requestId: expect.stringMatching(/^raw-/) });
    const { text } = await metrics.render();
    expect(text).toContain(`bramleyvane_unanswered_requests_total{cause="${cause}"} 1`);
  },
);

const PARTS = { 'x-bramleyvane-prompt-prefix': 'aa:400,bb:10' };

function holdTrials({ kernel }: FrontNode): jest.SpyInstance {
  const quarantine = kernel.get(Quarantine);
  const harmful = { parts: ['aa' as never], crashes: 2, retryAtMs: 0 };
  jest.spyOn(quarantine, 'check').mockReturnValue({ outcome: 'trial', harmful });
  return jest.spyOn(quarantine, 'takeTrial').mockReturnValue(new Promise(() => {}));
}

// Guards against a request that waits beyond its deadline for a body, for a node that joins, or for
// the trial of a quarantined part.
test.each(['body', 'joining', 'trial'])(
  'the wait for the %s ends at the deadline',
  async (what) => {
    const node = await fixture.addReadyNode(0);
    const { kernel } = node;
    if (what === 'joining') jest.spyOn(kernel.get(Members), 'hasJoined').mockReturnValue(false);
    if (what === 'trial') holdTrials(node);
    const caller = await openCaller(node);
    const startedAtMs = performance.now();
    if (what === 'body') caller.send('/credit/a', BRIEF, 'half', 10);
    else caller.send('/label/a', { ...GENERATION_HEADERS, ...BRIEF, ...PARTS });
    const status = await Promise.race([caller.readStatus(), sleep(3_000, 0)]);
    expect(status).toBe(503);
    expect(performance.now() - startedAtMs).toBeLessThan(300 + LATE_MS);
  },
);

// Guards against a node that goes on waiting for a request whose caller has left.
test('the wait for joining ends when the caller leaves', async () => {
  const node = await fixture.addReadyNode(0);
  const hasJoined = jest.spyOn(node.kernel.get(Members), 'hasJoined').mockReturnValue(false);
  const caller = await openCaller(node);
  caller.send('/label/a', { ...GENERATION_HEADERS, ...PARTS });
  await waitUntil('the wait', () => hasJoined.mock.calls.length > 2);
  caller.close();
  await sleep(200);
  const before = hasJoined.mock.calls.length;
  await sleep(200);
  expect(hasJoined.mock.calls.length).toBe(before);
});

const ROUTES = createStoreConfiguration().routes as ReadonlyArray<Record<string, unknown>>;

// Guards against a request that loses its answer because a new configuration changes its route.
test.each([
  ['removed', []],
  ['moved', ROUTES.map((route) => ({ ...route, service: 'other' }))],
  ['re-timed', ROUTES.map((route) => ({ ...route, timeoutMs: 50 }))],
])('requests run to their answer when their route is %s', async (_name, routes) => {
  await fixture.addEngine('desk', { instanceId: 'i-desk', callMs: 800 });
  await fixture.addEngine('writers', { instanceId: 'i-w', events: 100, eventIntervalMs: 10 });
  const node = await fixture.addReadyNode(2);
  const running = [
    callFront(node, '/credit/a'),
    callFront(node, '/lookup/a'),
    callFront(node, '/report/a', { headers: GENERATION_HEADERS }),
  ];
  await waitUntil('the runs', () =>
    fixture.engines.every(({ receivedRequests }) => receivedRequests.length > 0),
  );
  const hasJoined = jest.spyOn(node.kernel.get(Members), 'hasJoined').mockReturnValue(false);
  const held = callFront(node, '/label/a', { headers: { ...GENERATION_HEADERS, ...PARTS } });
  await waitUntil('the hold', () => hasJoined.mock.calls.length > 0);
  await applyConfiguration(node, createStoreConfiguration({ version: 6, routes }));
  hasJoined.mockReturnValue(true);
  const answers = await Promise.all([...running, held]);
  expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
});

// Guards against a stop that cuts the connections of requests whose head has not been sent.
test('a request that still runs when the node stops is answered', async () => {
  await fixture.addEngine('desk', { instanceId: 'i-desk', callMs: 5_000 });
  const node = await fixture.addReadyNode(1);
  const caller = await openCaller(node);
  caller.send('/credit/a');
  const [desk] = fixture.engines;
  await waitUntil('the run', () => desk!.receivedRequests.length === 1);
  await node.kernel.dispose();
  expect(await caller.readStatus()).toBe(502);
});

function createRawEntry(service: string, server: Server, state: string): unknown {
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return { service, address, zone: 'brisbane', slots: 4, state, coldRemainingMs: 0, born: 1 };
}

/** Starts an endpoint that writes each answer byte for byte. */
async function addRawEndpoint(
  service: string,
  answer: (socket: Socket, requestId: string, server: Server) => void,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (data) => {
      const requestId = /x-bramleyvane-request-id: *(\S+)/i.exec(data.toString())?.[1];
      if (requestId !== undefined) answer(socket, requestId, server);
    });
  });
  servers = [...servers, server];
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const key = `servers/i-raw-${servers.length}`;
  fixture.store.put(key, createRawEntry(service, server, 'ready'));
  return key;
}

const createHead = (requestId: string, rest: string, status = '200 OK'): string =>
  `HTTP/1.1 ${status}\r\nX-Bramleyvane-Request-Id: ${requestId}\r\n` +
  `X-Bramleyvane-Server-Seal: seal\r\n${rest}`;

const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

// Guards against a truncated answer without a length that is taken for whole because its endpoint,
// which was known to leave, ended in the middle of it.
test.each([
  ['/credit/a', 'first ha'],
  ['/report/a', 'id: 1\ndata: a\n\n'],
])('an answer without a length at %s is not whole when its endpoint ends', async (target, part) => {
  const isStream = target.startsWith('/report');
  const service = isStream ? 'writers' : 'desk';
  let finish = (): void => {};
  const key = await addRawEndpoint(service, (socket, requestId, server) => {
    socket.write(createHead(requestId, `\r\n${part}`));
    finish = () => {
      server.close();
      socket.end();
    };
  });
  const node = await fixture.addReadyNode(1);
  const caller = await openCaller(node);
  caller.send(target, isStream ? GENERATION_HEADERS : {});
  await sleep(300);
  fixture.store.put(key, createRawEntry(service, servers[0]!, 'draining'));
  await sleep(1_500);
  finish();
  if (!isStream) expect(await caller.readStatus()).toBe(502);
  else await waitUntil('the cut', () => caller.isClosed);
  expect(caller.received.endsWith('0\r\n\r\n')).toBe(false);
});

// Guards against a complete answer without a length that is thrown away because its endpoint leaves.
test.each(['/credit/a', '/report/a'])(
  'an answer without a length at %s holds while its leaving endpoint listens',
  async (target) => {
    const isStream = target.startsWith('/report');
    const service = isStream ? 'writers' : 'desk';
    let finish = (): void => {};
    const key = await addRawEndpoint(service, (socket, requestId) => {
      finish = () => socket.end(createHead(requestId, `\r\n${EVENTS}`));
    });
    const node = await fixture.addReadyNode(1);
    const caller = await openCaller(node);
    caller.send(target, isStream ? GENERATION_HEADERS : {});
    await sleep(300);
    fixture.store.put(key, createRawEntry(service, servers[0]!, 'draining'));
    await sleep(1_500);
    finish();
    expect(await caller.readStatus()).toBe(200);
    const end = '0\r\n\r\n';
    await waitUntil('the answer', () => caller.received.endsWith(end) || caller.isClosed);
    expect(caller.received.endsWith(end)).toBe(true);
  },
);

// Guards against an answer that was reset on its way and is taken for whole because its endpoint
// was leaving.
test.each(['/credit/a', '/report/a'])(
  'a reset answer without a length at %s is not whole when its endpoint leaves',
  async (target) => {
    const isStream = target.startsWith('/report');
    const service = isStream ? 'writers' : 'desk';
    let finish = (): void => {};
    const key = await addRawEndpoint(service, (socket, requestId, server) => {
      finish = () => {
        server.close();
        socket.write(createHead(requestId, `\r\n${EVENTS}`));
        setTimeout(() => socket.resetAndDestroy(), 50);
      };
    });
    const node = await fixture.addReadyNode(1);
    fixture.store.put(key, createRawEntry(service, servers[0]!, 'ready'));
    const answer = callFront(node, target, { headers: isStream ? GENERATION_HEADERS : {} }).then(
      ({ status }) => status,
      () => 0,
    );
    await sleep(300);
    fixture.store.put(key, createRawEntry(service, servers[0]!, 'draining'));
    await sleep(1_500);
    finish();
    expect(await answer).toBe(isStream ? 0 : 502);
  },
);

// Guards against "internal error" where the endpoint broke off, and against an error answer that
// looks complete.
test.each(['/report/a', '/credit/a'])(
  'an error answer that breaks off at %s is lost',
  async (at) => {
    await addRawEndpoint(at.startsWith('/report') ? 'writers' : 'desk', (socket, requestId) => {
      socket.end(createHead(requestId, 'Content-Length: 100\r\n\r\nfail', '500 Failed'));
    });
    const node = await fixture.addReadyNode(1);
    const caller = await openCaller(node);
    caller.send(at, GENERATION_HEADERS);
    expect(await caller.readStatus()).toBe(502);
  },
);

// Guards against a large answer that looks complete, or gets none, where the endpoint breaks off.
test.each([
  ['before', 100_000, 502],
  ['after', 400_000, 200],
])('a large answer that breaks off %s its head was sent', async (_name, size, status) => {
  await addRawEndpoint('desk', (socket, requestId) => {
    socket.write(createHead(requestId, `Content-Length: 500000\r\n\r\n${'x'.repeat(size)}`));
    setTimeout(() => socket.destroy(), 200);
  });
  const node = await fixture.addReadyNode(1);
  const caller = await openCaller(node);
  caller.send('/credit/a');
  expect(await caller.readStatus()).toBe(status);
  if (status === 200) await waitUntil('the cut', () => caller.isClosed);
});
