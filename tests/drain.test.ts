import { setTimeout as sleep } from 'node:timers/promises';
import {
  callFront,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  HOST,
  type FrontNode,
} from './FrontFixture';
import { RawCaller } from './RawCaller';
import { waitUntil } from './waitUntil';

const ROUTE = { host: HOST, latencyGoalMs: 300, priority: 1, timeoutMs: 30_000 };

/** Each kind of route, to fast engines and, with a `slow-` prefix, to engines that never finish. */
const ROUTES = ['', 'slow-'].flatMap((speed) => [
  { ...ROUTE, name: `${speed}lookup`, kind: 'safe', service: `${speed}desk`, maxAttempts: 2 },
  { ...ROUTE, name: `${speed}credit`, kind: 'unsafe', service: `${speed}desk` },
  { ...ROUTE, name: `${speed}report`, kind: 'streaming', service: `${speed}writers` },
  {
    ...ROUTE,
    name: `${speed}label`,
    kind: 'streaming',
    service: `${speed}writers`,
    streamResume: true,
    maxAttempts: 2,
  },
]);

/** A hedge of this route begins 1.35 s after the request. */
const PATIENT_ROUTE = {
  ...ROUTE,
  name: 'patient',
  kind: 'safe',
  service: 'slow-desk',
  latencyGoalMs: 3_000,
  maxAttempts: 2,
};

const CONFIGURATION = createStoreConfiguration({
  routes: [...ROUTES, PATIENT_ROUTE].map((route) => ({ ...route, prefix: `/${route.name}/` })),
  services: ['desk', 'slow-desk', 'writers', 'slow-writers'].map((name) => ({
    name,
    maxConnections: 40,
    ...(name.endsWith('writers') && {
      engine: { kvCapacity: 900_000, stride: 1, moves: false, backups: false },
    }),
  })),
});

/** Longer than any grace period of these tests. */
const LONG_HEADERS = { 'x-bramleyvane-deadline-ms': '30000' };

let fixture: FrontFixture;

beforeEach(async () => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', CONFIGURATION);
  await fixture.addEngine('desk', { instanceId: 'i-desk', callMs: 5 });
  const silent = await fixture.addEngine('slow-desk', { instanceId: 'i-slow-desk' });
  silent.behaviour = 'silent';
  await fixture.addEngine('writers', { instanceId: 'i-writers', events: 10 });
  await fixture.addEngine('slow-writers', {
    instanceId: 'i-slow-writers',
    events: 100_000,
    eventIntervalMs: 20,
  });
});

afterEach(async () => {
  await fixture.stop();
});

function findEngine(service: string): FrontFixture['engines'][number] {
  const index = ['desk', 'slow-desk', 'writers', 'slow-writers'].indexOf(service);
  return fixture.engines[index]!;
}

async function startNode(graceSeconds: number): Promise<FrontNode> {
  return fixture.addReadyNode(4, { shutdownGraceSeconds: graceSeconds });
}

/** Stops a node as SIGTERM does. */
async function stopNode({ kernel }: FrontNode): Promise<void> {
  await kernel.drain();
  await kernel.dispose();
}

// Guards against a planned stop that ends by closing the connections of running requests: each of
// them gets an answer, which promises that the request has not run only if it was not sent.
test.each([
  ['a call that may be repeated', '/slow-lookup/a', 'slow-desk'],
  ['a call that may not be repeated', '/slow-credit/a', 'slow-desk'],
])('the end of a stop answers %s', async (_name, target, service) => {
  const node = await startNode(1);
  const call = callFront(node, target, { method: 'POST', body: 'b', headers: LONG_HEADERS });
  const settled = call.then(({ status }) => status, String);
  await waitUntil('the request', () => findEngine(service).receivedRequests.length > 0);
  await stopNode(node);
  expect(await settled).toBe(502);
});

// Guards against a broken-off stream that looks complete, and one without a head that gets no answer.
test.each([
  ['silent', 502],
  ['answer', 'cut'],
] as const)(
  'the end of a stop ends a stream whose engine is in state %s',
  async (behaviour, outcome) => {
    const node = await startNode(1);
    const engine = findEngine('slow-writers');
    engine.behaviour = behaviour;
    const call = callFront(node, '/slow-report/a', { method: 'POST', headers: LONG_HEADERS });
    const settled = call.then(
      ({ status }) => status,
      () => 'cut',
    );
    await waitUntil('the request', () => engine.receivedRequests.length > 0);
    await stopNode(node);
    expect(await settled).toBe(outcome);
  },
);

// Guards against a request that is cut with no answer while its body is still on the way.
test('the end of a stop refuses a request whose body is incomplete', async () => {
  const node = await startNode(1);
  const caller = new RawCaller(node);
  caller.send('POST /credit/a HTTP/1.1', ['Content-Length: 9'], 'body');
  // The node has read the part that was sent before this response.
  expect((await callFront(node, '/lookup/a')).status).toBe(200);
  await stopNode(node);
  await caller.closed;
  expect(caller.received).toMatch(/^HTTP\/1.1 503 /);
  expect(caller.received).toMatch(/"kind":"draining"/);
});

// Guards against a caller that sends its next request on a connection which is about to be closed.
test('a response in a stop closes its connection, also if the request came before', async () => {
  const node = await startNode(2);
  const desk = findEngine('desk');
  const caller = new RawCaller(node);
  Object.assign(desk, { options: { instanceId: 'i-desk', callMs: 300 } });
  caller.send('GET /lookup/a HTTP/1.1');
  await waitUntil('the request', () => desk.receivedRequests.length > 0);
  const stopped = stopNode(node);
  await caller.closed;
  expect(caller.received).toMatch(/^HTTP\/1.1 200 OK\r\n(.*\r\n)*connection: close\r\n/i);
  await stopped;
});

// Guards against a late request that is sent although the stop would cut it, and against refusing
// one that is sure to end.
test.each([
  ['a call that may not be repeated, with a long limit', 'credit', 30_000, 503],
  ['a call that may not be repeated, with a short limit', 'credit', 900, 200],
  ['a call that may be repeated', 'lookup', 30_000, 200],
  ['a stream that may not be resumed, with a long limit', 'report', 30_000, 503],
  ['a stream that may not be resumed, with a short limit', 'report', 900, 200],
  ['a stream that may be resumed', 'label', 30_000, 200],
])('in a stop, %s', async (_name, route, limitMs, status) => {
  const node = await startNode(2);
  const headers = {
    ...GENERATION_HEADERS,
    'x-bramleyvane-length-hint': '10',
    'x-bramleyvane-deadline-ms': String(limitMs),
  };
  const call = async (): ReturnType<typeof callFront> =>
    callFront(node, `/${route}/a`, { method: 'POST', headers });
  // Two answers make the pace of the engine known.
  await call();
  await call();
  const engine = findEngine(['credit', 'lookup'].includes(route) ? 'desk' : 'writers');
  const before = engine.receivedRequests.length;
  const stopped = stopNode(node);
  const response = await call();
  expect(response.status).toBe(status);
  const sent = engine.receivedRequests.slice(before);
  expect(sent).toHaveLength(status === 200 ? 1 : 0);
  if (status === 503) {
    expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
    expect(JSON.parse(response.text)).toMatchObject({
      error: { kind: 'draining', run: 'not-run' },
    });
  }
  await stopped;
});

// Guards against an engine that goes on working on a request after the node that sent it has exited.
test('in a stop, no engine gets a deadline beyond the exit', async () => {
  const node = await startNode(2);
  const stopped = stopNode(node);
  expect((await callFront(node, '/lookup/a', { headers: LONG_HEADERS })).status).toBe(200);
  const [received] = findEngine('desk').receivedRequests;
  const deadlineMs = Number(received?.headers['x-bramleyvane-deadline-ms']);
  expect(deadlineMs).toBeGreaterThan(0);
  expect(deadlineMs).toBeLessThan(2_000);
  await stopped;
});

/** Kinds of requests, with a limit that is longer than the grace. */
const KINDS = ['lookup', 'credit', 'report', 'label'];

const MOMENT_SHARES = [0, 0.1, 0.25, 0.5, 0.75, 0.9, 1];

// Guards against a late request that is read and gets no answer, or runs after it was refused. An
// open stream keeps the node running and one connection of each caller open beyond the start.
test('a stop answers what arrives at any moment on new and kept connections', async () => {
  const graceMs = 2_000;
  const node = await startNode(graceMs / 1_000);
  const open = callFront(node, '/slow-report/a', { method: 'POST', headers: LONG_HEADERS });
  const cut = open.catch(() => 'cut');
  const slow = findEngine('slow-writers');
  await waitUntil('the open stream', () => slow.executedRequestIds.length > 0);
  const createCallers = (): ReadonlyArray<readonly [string, RawCaller]> =>
    KINDS.map((kind) => [kind, new RawCaller(node)]);
  const kept = MOMENT_SHARES.map(createCallers);
  await Promise.all(kept.flat().map(async ([, caller]) => caller.waitUntilConnected()));
  const stopped = stopNode(node);
  const startedMs = performance.now();
  const sent = MOMENT_SHARES.map(async (share, index) => {
    await sleep(Math.max(0, startedMs + share * graceMs - performance.now()));
    const callers = [...kept[index]!, ...createCallers()];
    const requests = callers.map(([kind, caller]) => ({
      caller,
      requestId: caller.isClosed ? 'unsent' : caller.send(`GET /${kind}/a HTTP/1.1`),
    }));
    await Promise.all(callers.map(async ([, caller]) => caller.closed));
    return requests;
  });
  const outcomes = (await Promise.all(sent)).flat();
  await stopped;
  expect(await cut).toBe('cut');
  const executed = fixture.engines.flatMap((engine) => engine.executedRequestIds);
  outcomes.forEach(({ caller: { received }, requestId }) => {
    const runs = executed.filter((id) => id === requestId).length;
    if (runs > 0) expect(received).toMatch(/^HTTP\/1.1 200 /);
    else expect(received).toMatch(/^$|^HTTP\/1.1 503 [^]*"run":"not-run"/);
    expect(runs).toBeLessThanOrEqual(1);
    const wasRead = node.lines.some((line) => line.requestId === requestId);
    if (wasRead) expect(received).not.toBe('');
  });
  expect(outcomes.filter(({ caller: { received } }) => received.includes(' 503 '))).not.toEqual([]);
});

// Guards against a second copy of a request that begins so late in a stop that it is cut off.
test('a stop sends no hedge that does not end before the exit', async () => {
  const other = await fixture.addEngine('slow-desk', { instanceId: 'i-other' });
  other.behaviour = 'silent';
  const node = await fixture.addReadyNode(5, { shutdownGraceSeconds: 2 });
  const call = callFront(node, '/patient/a', { headers: LONG_HEADERS });
  const engines = [findEngine('slow-desk'), other];
  const countReceived = (): number => engines.flatMap((engine) => engine.receivedRequests).length;
  await waitUntil('the request', () => countReceived() > 0);
  await stopNode(node);
  expect((await call).status).toBe(502);
  expect(countReceived()).toBe(1);
});

// Guards against a connection that stays open behind a stream, as the head of the stream had been
// sent before the stop, and on which later requests get no answer.
test.each(KINDS)(
  'a connection that outlives its stream in a stop gets an answer to %s',
  async (kind) => {
    const node = await startNode(2);
    const writers = findEngine('writers');
    Object.assign(writers, {
      options: { instanceId: 'i-writers', events: 70, eventIntervalMs: 15 },
    });
    const open = callFront(node, '/slow-report/a', { method: 'POST', headers: LONG_HEADERS });
    const cut = open.catch(() => 'cut');
    const caller = new RawCaller(node);
    caller.send('GET /report/a HTTP/1.1', ['X-Bramleyvane-Deadline-Ms: 30000']);
    await waitUntil('the head of the stream', () => caller.received.includes('id: 1'));
    const stopped = stopNode(node);
    await waitUntil('the end of the stream', () => caller.received.endsWith('0\r\n\r\n'));
    const offset = caller.received.length;
    expect(caller.isClosed).toBe(false);
    const requestId = caller.send(`GET /${kind}/a HTTP/1.1`, ['X-Bramleyvane-Deadline-Ms: 200']);
    await caller.closed;
    const runs = fixture.engines.flatMap((engine) =>
      engine.executedRequestIds.filter((id) => id === requestId),
    );
    const answer = caller.received.slice(offset);
    expect(answer).toMatch(runs.length > 0 ? /^HTTP\/1.1 (200|504) / : /^HTTP\/1.1 503 /);
    await stopped;
    expect(await cut).toBe('cut');
  },
);
