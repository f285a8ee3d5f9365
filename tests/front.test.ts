import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { Deployment } from '../src/services';
import {
  callFront,
  createStoreConfiguration,
  FrontFixture,
  HOST,
  GENERATION_HEADERS,
} from './FrontFixture';
import { waitUntil } from './waitUntil';

let fixture: FrontFixture;

beforeEach(async () => {
  fixture = await FrontFixture.start();
});

afterEach(async () => {
  await fixture.stop();
});

const STREAM = (events: number): string =>
  Array.from(
    { length: events },
    (_, index) => `id: ${index + 1}\ndata: token ${index + 1}\n\n`,
  ).join('');

// Guards against changed bytes, a key that reaches the engine, and headers that only the system sets.
test('forwards a call unchanged, with the customer in place of the key', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  const desk = await fixture.addEngine('desk', { instanceId: 'i-desk' });
  const node = await fixture.addReadyNode(1);
  const answer = await callFront(node, '/credit/a%2Fb/../c?x=1&x=2', {
    method: 'POST',
    body: '{"amount": 3}',
    headers: {
      'x-own': 'kept',
      'x-bramleyvane-tenant': 'forged',
      'x-bramleyvane-hold': 'forged',
      'kv-from': '127.0.0.1:1/forged',
    },
  });
  expect(answer.status).toBe(200);
  expect(answer.headers['x-bramleyvane-server-seal']).toBe('seal-i-desk');
  const [arrival] = desk.receivedRequests;
  expect(arrival).toMatchObject({
    method: 'POST',
    target: '/credit/a%2Fb/../c?x=1&x=2',
    body: '{"amount": 3}',
    headers: {
      'x-own': 'kept',
      'x-bramleyvane-tenant': 'cafe-1',
      'x-bramleyvane-expect-instance': 'i-desk',
      host: HOST,
    },
  });
  const names = Object.keys(arrival!.headers);
  expect(names).not.toContain('authorization');
  expect(names).not.toContain('x-bramleyvane-hold');
  expect(names).not.toContain('kv-from');
  expect(Number(arrival!.headers['x-bramleyvane-deadline-ms'])).toBeLessThanOrEqual(4_000);
});

// Guards against 401 or 404 from a node that can't know, and against 503 from one that does.
test('answers 503 before a configuration is known, then by the configuration', async () => {
  const node = await fixture.addNode();
  expect((await callFront(node, '/lookup/a')).status).toBe(503);
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-desk' });
  await waitUntil('configuration', () => node.kernel.get(Deployment).listAll().length === 1);
  expect((await callFront(node, '/lookup/a')).status).toBe(200);
  expect((await callFront(node, '/nothing/')).status).toBe(404);
  expect(
    (await callFront(node, '/lookup/a', { headers: { authorization: 'Token x' } })).status,
  ).toBe(401);
  const large = { method: 'POST', body: 'x'.repeat(100_001) } as const;
  expect((await callFront(node, '/credit/a', large)).status).toBe(413);
});

// Guards against a second run of what may not be repeated, and against "not run" where it may have.
test.each([
  ['credit', 'shed', 503, 0],
  ['credit', 'crossed', 502, 1],
  ['credit', 'unsigned', 502, 1],
  ['credit', 'reset', 502, 0],
  ['credit', 'fail', 500, 1],
  ['credit', 'silent', 504, 0],
  ['lookup', 'shed', 503, 0],
  ['lookup', 'fail', 500, 2],
  ['lookup', 'crossed', 502, 2],
] as const)('%s at engines that all %s: %i', async (route, behaviour, status, runs) => {
  fixture.store.put('op/config', createStoreConfiguration());
  const engines = await Promise.all(
    ['i-1', 'i-2', 'i-3'].map(async (instanceId) => fixture.addEngine('desk', { instanceId })),
  );
  engines.forEach((engine) => Object.assign(engine, { behaviour }));
  const node = await fixture.addReadyNode(3);
  const headers = { 'x-bramleyvane-deadline-ms': '600' };
  const answer = await callFront(node, `/${route}/a`, { method: 'POST', body: 'b', headers });
  expect(answer.status).toBe(status);
  expect(engines.flatMap((engine) => engine.executedRequestIds)).toHaveLength(runs);
  expect(engines.flatMap((engine) => engine.receivedRequests).length).toBeLessThanOrEqual(2);
  if (status === 503) expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  expect(answer.headers['x-bramleyvane-server-seal'] !== undefined).toBe(status === 500);
});

// Guards against a node that tries for ever when every endpoint refuses connections.
test.each(['lookup', 'credit'])('%s is refused when no endpoint can be reached', async (route) => {
  fixture.store.put('op/config', createStoreConfiguration());
  const engines = await Promise.all(
    ['i-1', 'i-2'].map(async (instanceId) => fixture.addEngine('desk', { instanceId })),
  );
  const node = await fixture.addReadyNode(2);
  await Promise.all(engines.map(async (engine) => engine.stop()));
  const answer = await callFront(node, `/${route}/a`, { method: 'POST', body: 'b' });
  expect(answer.status).toBe(503);
  expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
});

// Guards against a lookup that fails although another engine would answer it.
test.each(['shed', 'fail', 'crossed', 'reset'] as const)(
  'a lookup is answered when one engine would %s',
  async (behaviour) => {
    fixture.store.put('op/config', createStoreConfiguration());
    const bad = await fixture.addEngine('desk', { instanceId: 'i-bad' });
    bad.behaviour = behaviour;
    await fixture.addEngine('desk', { instanceId: 'i-good' }, { zone: 'cairns' });
    const node = await fixture.addReadyNode(2);
    const answer = await callFront(node, '/lookup/a');
    expect(answer).toMatchObject({ status: 200 });
    expect(bad.receivedRequests.length).toBeLessThanOrEqual(1);
  },
);

// Guards against an endpoint that answers well but slowly, and gets as much as the others.
test('a slow endpoint gets little once its pace is known', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-1', callMs: 10 });
  await fixture.addEngine('desk', { instanceId: 'i-2', callMs: 10 });
  const slow = await fixture.addEngine('desk', { instanceId: 'i-3', callMs: 200 });
  const node = await fixture.addReadyNode(3);
  const sendCredits = async (count: number): Promise<void> => {
    for (let sent = 0; sent < count; sent++) {
      await callFront(node, '/credit/a', { method: 'POST', body: '{}' });
    }
  };
  await sendCredits(20);
  const before = slow.executedRequestIds.length;
  await sendCredits(40);
  expect(slow.executedRequestIds.length - before).toBeLessThan(4);
});

// Guards against work at an address that belongs to another engine by now.
test('an address that another engine has taken runs nothing', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  const other = await fixture.addEngine('desk', { instanceId: 'i-new' });
  fixture.store.remove('servers/i-new');
  fixture.store.put('servers/i-old', other.createEntry('desk'));
  const node = await fixture.addReadyNode(1);
  expect((await callFront(node, '/credit/a', { method: 'POST' })).status).toBe(503);
  expect(other.executedRequestIds).toEqual([]);
});

// Guards against lost, doubled or reordered events.
test('hands on a stream event by event', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('writers', { instanceId: 'i-1', events: 40 });
  const node = await fixture.addReadyNode(1);
  const answer = await callFront(node, '/report/a', {
    method: 'POST',
    headers: GENERATION_HEADERS,
  });
  expect(answer.status).toBe(200);
  expect(answer.text).toBe(STREAM(40));
});

// Guards against a report that is cut when its engine leaves, and against one that runs twice.
test.each([0, 2])('a run moves away from a leaving engine, %i copies refused', async (refusals) => {
  fixture.store.put('op/config', createStoreConfiguration());
  const first = await fixture.addEngine('writers', { instanceId: 'i-1', events: 300 });
  const node = await fixture.addReadyNode(1);
  const call = callFront(node, '/report/a', { method: 'POST', headers: GENERATION_HEADERS });
  await waitUntil('the run starts', () => first.executedRequestIds.length === 1);
  first.copiesToRefuse = refusals;
  const second = await fixture.addEngine('writers', { instanceId: 'i-2', events: 300 });
  await waitUntil('second engine', () => node.kernel.get(Deployment).listAll().length === 2);
  fixture.store.put('servers/i-1', first.createEntry('writers', { state: 'draining' }));
  const answer = await call;
  expect(answer.text).toBe(STREAM(300));
  expect(second.executedRequestIds).toHaveLength(1);
  const went = second.receivedRequests.find(({ headers }) => headers['kv-from'] !== undefined);
  expect(went?.headers['last-event-id']).toMatch(/^\d+$/);
});

// Guards against new work for a leaving engine.
test.each([
  ['says that it leaves', true],
  ['is gone from the list', false],
])('an engine that %s gets no new work', async (_name, isListed) => {
  fixture.store.put('op/config', createStoreConfiguration());
  const engine = await fixture.addEngine('desk', { instanceId: 'i-1' });
  const node = await fixture.addReadyNode(1);
  if (isListed) fixture.store.put('servers/i-1', engine.createEntry('desk', { state: 'draining' }));
  else fixture.store.remove('servers/i-1');
  const deployment = node.kernel.get(Deployment);
  await waitUntil('the notice', () => deployment.listAssignable('desk').length === 0);
  expect((await callFront(node, '/lookup/a')).status).toBe(503);
  expect(engine.receivedRequests).toEqual([]);
});

// Guards against a label that is lost with its engine although a new run may go on.
test('a resumable stream goes on at another engine after the last event', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  const first = await fixture.addEngine('writers', { instanceId: 'i-1', events: 60 });
  const node = await fixture.addReadyNode(1);
  const call = callFront(node, '/label/a', { method: 'POST', headers: GENERATION_HEADERS });
  await waitUntil('the run starts', () => first.executedRequestIds.length === 1);
  await fixture.addEngine('writers', { instanceId: 'i-2', events: 60 });
  await waitUntil('second engine', () => node.kernel.get(Deployment).listAll().length === 2);
  first.crash();
  expect((await call).text).toBe(STREAM(60));
});

/** Services whose engines send the memory of a run to another engine while it grows. */
const COPYING = [
  {
    name: 'writers',
    maxConnections: 40,
    engine: { kvCapacity: 30_000, stride: 4, moves: true, backups: true },
  },
];

// Guards against a report that is lost with its engine although another one has its memory, and
// against a stream that waits for an engine which will never say another word.
test.each(['crash', 'goSilent'] as const)(
  'a run goes on from its growing copy after a %s',
  async (fault) => {
    fixture.store.put('op/config', createStoreConfiguration({ services: COPYING }));
    const options = { events: 150, eventIntervalMs: 10 };
    const engines = [
      await fixture.addEngine('writers', { instanceId: 'i-1', ...options }),
      await fixture.addEngine('writers', { instanceId: 'i-2', ...options }),
    ];
    const node = await fixture.addReadyNode(2);
    const call = callFront(node, '/report/a', {
      method: 'POST',
      headers: { ...GENERATION_HEADERS, 'x-bramleyvane-deadline-ms': '20000' },
    });
    const holder = await waitUntil('the copy', () => engines.find(({ copies }) => copies.size > 0));
    const other = engines.find((engine) => engine !== holder);
    await sleep(100);
    other?.[fault]();
    expect((await call).text).toBe(STREAM(150));
    expect(holder.executedRequestIds).toHaveLength(1);
  },
);

// Guards against a caller that is never told that its stream won't go on.
test('a stream without a copy on a silent engine is cut at its deadline', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  const engine = await fixture.addEngine('writers', { instanceId: 'i-1', events: 300 });
  const node = await fixture.addReadyNode(1);
  const call = callFront(node, '/report/a', {
    method: 'POST',
    headers: { ...GENERATION_HEADERS, 'x-bramleyvane-deadline-ms': '1500' },
  });
  const broken = expect(call).rejects.toThrow();
  await waitUntil('the run starts', () => engine.executedRequestIds.length === 1);
  await sleep(50);
  engine.goSilent();
  await broken;
  expect(node.lines.find(({ step }) => step === 'refuse')).toMatchObject({
    kind: 'answer-timeout',
  });
});

// Guards against a broken report that looks complete, and against one made of two runs.
test('a stream that may not be resumed is cut with its engine', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  const first = await fixture.addEngine('writers', { instanceId: 'i-1', events: 200 });
  const second = await fixture.addEngine(
    'writers',
    { instanceId: 'i-2', events: 200 },
    { zone: 'cairns' },
  );
  const node = await fixture.addReadyNode(2);
  const call = callFront(node, '/report/a', { method: 'POST', headers: GENERATION_HEADERS });
  const broken = expect(call).rejects.toThrow();
  await waitUntil('the run starts', () => first.executedRequestIds.length === 1);
  await new Promise((resolve) => {
    setTimeout(resolve, 60);
  });
  first.crash();
  await broken;
  expect(second.executedRequestIds).toEqual([]);
});

// Guards against service with a removed key by a node that can't hear of its removal.
test('refuses keys when the configuration is not confirmed in time', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  const node = await fixture.addReadyNode(1, { revocationWithinMs: 2_500 });
  expect((await callFront(node, '/lookup/a')).status).toBe(200);
  fixture.store.behaviour = 'silent';
  const refused = await waitUntil('the refusal', async () => {
    const answer = await callFront(node, '/lookup/a');
    return answer.status === 200 ? undefined : answer;
  });
  expect(refused.status).toBe(503);
  expect(JSON.parse(refused.text)).toMatchObject({ error: { kind: 'unconfirmed-configuration' } });
  fixture.store.behaviour = 'answer';
  await waitUntil('service', async () => (await callFront(node, '/lookup/a')).status === 200);
  expect(node.lines.map(({ event }) => event)).toEqual(
    expect.arrayContaining(['source lost', 'source regained']),
  );
});

// Guards against keys refused at a node whose neighbours know the configuration, against keys that
// go on there after they were taken away, and against runs lost with an engine whose departure only
// the others have read.
test('a node that is cut off from its source learns from the others', async () => {
  const ownStore = await fixture.addStore();
  fixture.store.put('op/config', createStoreConfiguration());
  ownStore.put('op/config', createStoreConfiguration());
  const first = await fixture.addEngine('desk', { instanceId: 'i-1' });
  const second = await fixture.addEngine('desk', { instanceId: 'i-2' });
  ownStore.put('servers/i-1', first.createEntry('desk'));
  ownStore.put('servers/i-2', second.createEntry('desk'));
  await fixture.addReadyNode(2, { revocationWithinMs: 2_500 });
  const cut = await fixture.addReadyNode(2, { revocationWithinMs: 2_500 }, ownStore.url);
  await fixture.waitForMembers();
  ownStore.behaviour = 'reset';
  // Its own confirmation is too old by then.
  await sleep(3_000);
  expect((await callFront(cut, '/lookup/a')).status).toBe(200);
  fixture.store.put('servers/i-1', first.createEntry('desk', { state: 'draining' }));
  fixture.store.remove('servers/i-2');
  const deployment = cut.kernel.get(Deployment);
  await waitUntil('both departures', () => deployment.listAssignable('desk').length === 0);
  const tenants = [{ name: 'cafe-1', apiKeys: ['key-2'] }];
  fixture.store.put('op/config', createStoreConfiguration({ version: 6, tenants }));
  await waitUntil('the refusal', async () => (await callFront(cut, '/lookup/a')).status === 401);
});

// Guards against an older configuration that comes into force again, and against values of others.
test('takes newer versions only and ignores what it cannot read', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  fixture.store.put('servers/i-bad', '{"service":7}');
  fixture.store.put('servers/i-worse', 'not json');
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  const node = await fixture.addReadyNode(1);
  const deployment = node.kernel.get(Deployment);
  expect(deployment.listAll().map(({ endpointId }) => endpointId)).toEqual(['i-1']);
  fixture.store.put('op/config', createStoreConfiguration({ version: 4, routes: [] }));
  fixture.store.put('op/config', 'broken');
  fixture.store.put('servers/i-2', fixture.engines[0]!.createEntry('desk'));
  await waitUntil('later value', () => deployment.listAll().length === 2);
  expect(deployment.configuration).toMatchObject({ version: 5 });
  fixture.store.put('op/config', createStoreConfiguration({ version: 9, tenants: [] }));
  await waitUntil('newer version', () => deployment.configuration?.version === 9);
  expect((await callFront(node, '/lookup/a')).status).toBe(401);
});

// Guards against a node that stops following the store when its history is gone.
test('reads everything again when the history is lost', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  await fixture.addEngine('desk', { instanceId: 'i-2' });
  const node = await fixture.addReadyNode(2);
  const deployment = node.kernel.get(Deployment);
  fixture.store.behaviour = 'unavailable';
  await waitUntil('outage', () => node.lines.some(({ event }) => event === 'source lost'));
  fixture.store.remove('servers/i-2');
  fixture.store.put('op/config', createStoreConfiguration({ version: 6 }));
  fixture.store.compact();
  fixture.store.behaviour = 'answer';
  await waitUntil('newer version', () => deployment.configuration?.version === 6);
  // The entry may have lapsed with the outage; it counts as gone only after the time to come back.
  await waitUntil('departure', () => deployment.listAssignable('desk').length === 1);
});

// Guards against callers that are sent to nodes which shut down or have lost the store.
test('nodes find each other and send callers to those that take them', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  const first = await fixture.addReadyNode(1);
  const second = await fixture.addReadyNode(1);
  const third = await fixture.addReadyNode(1);
  await fixture.waitForMembers();
  const resolve = async (): Promise<ReadonlyArray<string>> => {
    const url = `http://${first.settings.directoryAddress}/api/resolve?name=${HOST}&region=seq&zone=brisbane`;
    const { body } = await request(url);
    return ((await body.json()) as { addresses: string[] }).addresses;
  };
  const callers = [first, second, third].map(({ settings }) => settings.node.callerAddress);
  await waitUntil('all addresses', async () => (await resolve()).length === 3);
  expect([...(await resolve())].sort()).toEqual([...callers].sort());
  const drained = third.kernel.drain();
  await waitUntil('two addresses', async () => (await resolve()).length === 2);
  expect(await resolve()).not.toContain(third.settings.node.callerAddress);
  const ready = await request(`http://${third.settings.readinessAddress}/api/readyz`);
  expect(ready.statusCode).toBe(503);
  await drained;
});

// Guards against metrics that don't follow what the node knows and does.
test('metrics show endpoints, the age of the configuration and outcomes', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  const node = await fixture.addReadyNode(1);
  await callFront(node, '/lookup/1');
  await callFront(node, '/nowhere');
  const answer = await request(`http://${node.settings.node.operatorAddress}/metrics`);
  const text = await answer.body.text();
  expect(text).toContain('bramleyvane_attempts_total{service="desk",outcome="answered"} 1');
  expect(text).toContain('bramleyvane_refusals_total{kind="unknown-path"} 1');
  expect(text).toContain('bramleyvane_endpoints{service="desk",state="assignable"} 1');
  expect(text).toContain('bramleyvane_configuration_version 5');
  expect(text).toMatch(/bramleyvane_configuration_confirmed_age_seconds [0-2]\./);
  expect(text).toMatch(/bramleyvane_source_calls_total\{outcome="changes"\} [1-9]/);
});

// Guards against a stop that cuts a request, and against new long work during it.
test('a drain finishes the stream that runs and takes only short work', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  const writers = await fixture.addEngine('writers', { instanceId: 'i-1', events: 200 });
  await fixture.addEngine('desk', { instanceId: 'i-2' });
  const node = await fixture.addReadyNode(2);
  const running = callFront(node, '/report/a', { method: 'POST', headers: GENERATION_HEADERS });
  await waitUntil('the run starts', () => writers.executedRequestIds.length === 1);
  const drained = node.kernel.drain();
  expect(
    (await callFront(node, '/report/b', { method: 'POST', headers: GENERATION_HEADERS })).status,
  ).toBe(503);
  expect((await callFront(node, '/lookup/a')).status).toBe(200);
  const short = { ...GENERATION_HEADERS, 'x-bramleyvane-length-hint': '20' };
  const label = await callFront(node, '/label/a', { method: 'POST', headers: short });
  expect(label.status).toBe(200);
  expect((await running).text).toBe(STREAM(200));
  await drained;
});
