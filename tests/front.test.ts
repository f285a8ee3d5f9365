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

// Guards against altered requests, an API key that is passed on to the engine, and callers that set
// internal headers.
test('forwards a call unchanged and replaces the API key by the customer', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  const desk = await fixture.addEngine('desk', { instanceId: 'i-desk' });
  const node = await fixture.addReadyNode(1);
  const response = await callFront(node, '/credit/a%2Fb/../c?x=1&x=2', {
    method: 'POST',
    body: '{"amount": 3}',
    headers: {
      'x-own': 'kept',
      'x-bramleyvane-tenant': 'forged',
      'x-bramleyvane-hold': 'forged',
      'kv-from': '127.0.0.1:1/forged',
    },
  });
  expect(response.status).toBe(200);
  expect(response.headers['x-bramleyvane-server-seal']).toBe('seal-i-desk');
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

// Guards against 401 or 404 from a node without a configuration, and 503 from a node that has it.
test('answers 503 before a configuration is known, then by the configuration', async () => {
  const node = await fixture.addNode();
  expect((await callFront(node, '/lookup/a')).status).toBe(503);
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-desk' });
  await waitUntil('the configuration', () => node.kernel.get(Deployment).listAll().length === 1);
  expect((await callFront(node, '/lookup/a')).status).toBe(200);
  expect((await callFront(node, '/nothing/')).status).toBe(404);
  expect(
    (await callFront(node, '/lookup/a', { headers: { authorization: 'Token x' } })).status,
  ).toBe(401);
  const large = { method: 'POST', body: 'x'.repeat(100_001) } as const;
  expect((await callFront(node, '/credit/a', large)).status).toBe(413);
});

// Guards against a second run of a call that may not be retried, and against a status that means
// "not run" for a call that may have run.
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
] as const)('%s when all engines behave as %s: %i', async (route, behaviour, status, runs) => {
  fixture.store.put('op/config', createStoreConfiguration());
  const engines = await Promise.all(
    ['i-1', 'i-2', 'i-3'].map(async (instanceId) => fixture.addEngine('desk', { instanceId })),
  );
  engines.forEach((engine) => Object.assign(engine, { behaviour }));
  const node = await fixture.addReadyNode(3);
  const headers = { 'x-bramleyvane-deadline-ms': '600' };
  const response = await callFront(node, `/${route}/a`, { method: 'POST', body: 'b', headers });
  expect(response.status).toBe(status);
  expect(engines.flatMap((engine) => engine.executedRequestIds)).toHaveLength(runs);
  expect(engines.flatMap((engine) => engine.receivedRequests).length).toBeLessThanOrEqual(2);
  if (status === 503) expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
  expect(response.headers['x-bramleyvane-server-seal'] !== undefined).toBe(status === 500);
});

// Guards against endless retries when every endpoint refuses connections.
test.each(['lookup', 'credit'])('refuses %s when no endpoint is reachable', async (route) => {
  fixture.store.put('op/config', createStoreConfiguration());
  const engines = await Promise.all(
    ['i-1', 'i-2'].map(async (instanceId) => fixture.addEngine('desk', { instanceId })),
  );
  const node = await fixture.addReadyNode(2);
  await Promise.all(engines.map(async (engine) => engine.stop()));
  const response = await callFront(node, `/${route}/a`, { method: 'POST', body: 'b' });
  expect(response.status).toBe(503);
  expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
});

// Guards against a lookup that fails although another engine could answer it.
test.each(['shed', 'fail', 'crossed', 'reset'] as const)(
  'answers a lookup when one engine behaves as %s',
  async (behaviour) => {
    fixture.store.put('op/config', createStoreConfiguration());
    const bad = await fixture.addEngine('desk', { instanceId: 'i-bad' });
    bad.behaviour = behaviour;
    await fixture.addEngine('desk', { instanceId: 'i-good' }, { zone: 'cairns' });
    const node = await fixture.addReadyNode(2);
    const response = await callFront(node, '/lookup/a');
    expect(response).toMatchObject({ status: 200 });
    expect(bad.receivedRequests.length).toBeLessThanOrEqual(1);
  },
);

// Guards against an endpoint that responds correctly but slowly and still gets an equal share of
// calls.
test('sends few calls to a slow endpoint once its pace is measured', async () => {
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

// Guards against dispatch to an address that has since been reassigned to another engine.
test('runs nothing at an address that another engine has taken over', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  const other = await fixture.addEngine('desk', { instanceId: 'i-new' });
  fixture.store.remove('servers/i-new');
  fixture.store.put('servers/i-old', other.createEntry('desk'));
  const node = await fixture.addReadyNode(1);
  expect((await callFront(node, '/credit/a', { method: 'POST' })).status).toBe(503);
  expect(other.executedRequestIds).toEqual([]);
});

// Guards against lost, duplicated or reordered events.
test('relays a stream event by event', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('writers', { instanceId: 'i-1', events: 40 });
  const node = await fixture.addReadyNode(1);
  const response = await callFront(node, '/report/a', {
    method: 'POST',
    headers: GENERATION_HEADERS,
  });
  expect(response.status).toBe(200);
  expect(response.text).toBe(STREAM(40));
});

// Guards against a stream that is cut when its engine drains, and against one that runs twice.
test.each([0, 2])('migrates a run from a draining engine, %i copies refused', async (refusals) => {
  fixture.store.put('op/config', createStoreConfiguration());
  const first = await fixture.addEngine('writers', { instanceId: 'i-1', events: 300 });
  const node = await fixture.addReadyNode(1);
  const call = callFront(node, '/report/a', { method: 'POST', headers: GENERATION_HEADERS });
  await waitUntil('the start of the run', () => first.executedRequestIds.length === 1);
  first.copiesToRefuse = refusals;
  const second = await fixture.addEngine('writers', { instanceId: 'i-2', events: 300 });
  await waitUntil('the second engine', () => node.kernel.get(Deployment).listAll().length === 2);
  fixture.store.put('servers/i-1', first.createEntry('writers', { state: 'draining' }));
  const response = await call;
  expect(response.text).toBe(STREAM(300));
  expect(second.executedRequestIds).toHaveLength(1);
  const migrated = second.receivedRequests.find(({ headers }) => headers['kv-from'] !== undefined);
  expect(migrated?.headers['last-event-id']).toMatch(/^\d+$/);
});

// Guards against new work for an engine that is draining or no longer listed.
test.each([
  ['is draining', true],
  ['is no longer listed', false],
])('an engine that %s gets no new work', async (_name, isListed) => {
  fixture.store.put('op/config', createStoreConfiguration());
  const engine = await fixture.addEngine('desk', { instanceId: 'i-1' });
  const node = await fixture.addReadyNode(1);
  if (isListed) fixture.store.put('servers/i-1', engine.createEntry('desk', { state: 'draining' }));
  else fixture.store.remove('servers/i-1');
  const deployment = node.kernel.get(Deployment);
  await waitUntil(
    'the engine to be unassignable',
    () => deployment.listAssignable('desk').length === 0,
  );
  expect((await callFront(node, '/lookup/a')).status).toBe(503);
  expect(engine.receivedRequests).toEqual([]);
});

// Guards against a stream that is lost with its engine although the route allows a new run to
// resume it.
test('resumes a resumable stream on another engine after the last event', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  const first = await fixture.addEngine('writers', { instanceId: 'i-1', events: 60 });
  const node = await fixture.addReadyNode(1);
  const call = callFront(node, '/label/a', { method: 'POST', headers: GENERATION_HEADERS });
  await waitUntil('the start of the run', () => first.executedRequestIds.length === 1);
  await fixture.addEngine('writers', { instanceId: 'i-2', events: 60 });
  await waitUntil('the second engine', () => node.kernel.get(Deployment).listAll().length === 2);
  first.crash();
  expect((await call).text).toBe(STREAM(60));
});

/** Services whose engines replicate the growing KV cache of a run to a backup engine. */
const REPLICATED_SERVICES = [
  {
    name: 'writers',
    maxConnections: 40,
    engine: { kvCapacity: 30_000, stride: 4, moves: true, backups: true },
  },
];

// Guards against a stream that is lost with its engine although a backup engine has its KV cache,
// and against a stream that waits for an engine which has stopped responding.
test.each(['crash', 'goSilent'] as const)(
  'continues a run from its backup after a %s',
  async (fault) => {
    fixture.store.put('op/config', createStoreConfiguration({ services: REPLICATED_SERVICES }));
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
    const backup = await waitUntil('the backup', () =>
      engines.find(({ copies }) => copies.size > 0),
    );
    const primary = engines.find((engine) => engine !== backup);
    await sleep(100);
    primary?.[fault]();
    expect((await call).text).toBe(STREAM(150));
    expect(backup.executedRequestIds).toHaveLength(1);
  },
);

// Guards against a caller that waits for ever for a stream which cannot continue.
test('cuts a stream without a backup at its deadline when its engine hangs', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  const engine = await fixture.addEngine('writers', { instanceId: 'i-1', events: 300 });
  const node = await fixture.addReadyNode(1);
  const call = callFront(node, '/report/a', {
    method: 'POST',
    headers: { ...GENERATION_HEADERS, 'x-bramleyvane-deadline-ms': '1500' },
  });
  const broken = expect(call).rejects.toThrow();
  await waitUntil('the start of the run', () => engine.executedRequestIds.length === 1);
  await sleep(50);
  engine.goSilent();
  await broken;
  expect(node.lines.find(({ step }) => step === 'refuse')).toMatchObject({
    kind: 'answer-timeout',
  });
});

// Guards against a truncated stream that looks complete, and against one made of two runs.
test('cuts a stream that may not be resumed when its engine crashes', async () => {
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
  await waitUntil('the start of the run', () => first.executedRequestIds.length === 1);
  await new Promise((resolve) => {
    setTimeout(resolve, 60);
  });
  first.crash();
  await broken;
  expect(second.executedRequestIds).toEqual([]);
});

// Guards against a node that accepts a revoked key because it has not received the revocation.
test('refuses keys when the configuration is not confirmed in time', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  const node = await fixture.addReadyNode(1, { revocationWithinMs: 2_500 });
  expect((await callFront(node, '/lookup/a')).status).toBe(200);
  fixture.store.behaviour = 'silent';
  const refused = await waitUntil('the refusal', async () => {
    const response = await callFront(node, '/lookup/a');
    return response.status === 200 ? undefined : response;
  });
  expect(refused.status).toBe(503);
  expect(JSON.parse(refused.text)).toMatchObject({ error: { kind: 'unconfirmed-configuration' } });
  fixture.store.behaviour = 'answer';
  await waitUntil('service', async () => (await callFront(node, '/lookup/a')).status === 200);
  expect(node.lines.map(({ event }) => event)).toEqual(
    expect.arrayContaining(['source lost', 'source regained']),
  );
});

// Guards against valid keys that are refused although the neighbours have a confirmed
// configuration, against revoked keys that are still accepted, and against runs that are lost with
// an engine whose removal only the other nodes have read.
test('a node cut off from its source gets updates from its peers', async () => {
  const ownStore = await fixture.addStore();
  fixture.store.put('op/config', createStoreConfiguration());
  ownStore.put('op/config', createStoreConfiguration());
  const first = await fixture.addEngine('desk', { instanceId: 'i-1' });
  const second = await fixture.addEngine('desk', { instanceId: 'i-2' });
  ownStore.put('servers/i-1', first.createEntry('desk'));
  ownStore.put('servers/i-2', second.createEntry('desk'));
  await fixture.addReadyNode(2, { revocationWithinMs: 2_500 });
  const isolated = await fixture.addReadyNode(2, { revocationWithinMs: 2_500 }, ownStore.url);
  await fixture.waitForMembers();
  ownStore.behaviour = 'reset';
  // By then the node's own confirmation is older than its limit allows.
  await sleep(3_000);
  expect((await callFront(isolated, '/lookup/a')).status).toBe(200);
  fixture.store.put('servers/i-1', first.createEntry('desk', { state: 'draining' }));
  fixture.store.remove('servers/i-2');
  const deployment = isolated.kernel.get(Deployment);
  await waitUntil(
    'both engines to be unassignable',
    () => deployment.listAssignable('desk').length === 0,
  );
  const tenants = [{ name: 'cafe-1', apiKeys: ['key-2'] }];
  fixture.store.put('op/config', createStoreConfiguration({ version: 6, tenants }));
  await waitUntil(
    'the refusal',
    async () => (await callFront(isolated, '/lookup/a')).status === 401,
  );
});

// Guards against a return to an older configuration, and against entries that the node cannot
// parse.
test('applies only newer versions and ignores malformed entries', async () => {
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
  await waitUntil('the later entry', () => deployment.listAll().length === 2);
  expect(deployment.configuration).toMatchObject({ version: 5 });
  fixture.store.put('op/config', createStoreConfiguration({ version: 9, tenants: [] }));
  await waitUntil('the newer version', () => deployment.configuration?.version === 9);
  expect((await callFront(node, '/lookup/a')).status).toBe(401);
});

// Guards against a node that stops following the store once the store has compacted its history.
test('reads a full snapshot again after the history is compacted', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  await fixture.addEngine('desk', { instanceId: 'i-2' });
  const node = await fixture.addReadyNode(2);
  const deployment = node.kernel.get(Deployment);
  fixture.store.behaviour = 'unavailable';
  await waitUntil('the outage', () => node.lines.some(({ event }) => event === 'source lost'));
  fixture.store.remove('servers/i-2');
  fixture.store.put('op/config', createStoreConfiguration({ version: 6 }));
  fixture.store.compact();
  fixture.store.behaviour = 'answer';
  await waitUntil('the newer version', () => deployment.configuration?.version === 6);
  // The entry may have expired during the outage; the endpoint counts as gone only after the grace
  // period for its return.
  await waitUntil('one assignable endpoint', () => deployment.listAssignable('desk').length === 1);
});

// Guards against callers that are directed to nodes which are shutting down or have lost the store.
test('nodes discover each other and direct callers to ready nodes', async () => {
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

// Guards against metrics that do not match the node's state and its outcomes.
test('metrics show endpoints, the age of the configuration and outcomes', async () => {
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  const node = await fixture.addReadyNode(1);
  await callFront(node, '/lookup/1');
  await callFront(node, '/nowhere');
  const response = await request(`http://${node.settings.node.operatorAddress}/metrics`);
  const text = await response.body.text();
  expect(text).toContain('bramleyvane_attempts_total{service="desk",outcome="answered"} 1');
  expect(text).toContain('bramleyvane_refusals_total{kind="unknown-path"} 1');
  expect(text).toContain('bramleyvane_endpoints{service="desk",state="assignable"} 1');
  expect(text).toContain('bramleyvane_configuration_version 5');
  expect(text).toMatch(/bramleyvane_configuration_confirmed_age_seconds [0-2]\./);
  expect(text).toMatch(/bramleyvane_source_calls_total\{outcome="changes"\} [1-9]/);
});

// Guards against a drain that cuts a request, and against new requests during a drain that may not
// end in time.
test('a drain finishes the running stream and accepts only work that ends in time', async () => {
  const { routes } = createStoreConfiguration() as { routes: ReadonlyArray<{ name: string }> };
  const longRoutes = routes.map((route) => ({ ...route, timeoutMs: 20_000 }));
  fixture.store.put('op/config', createStoreConfiguration({ routes: longRoutes }));
  const writers = await fixture.addEngine('writers', { instanceId: 'i-1', events: 200 });
  await fixture.addEngine('desk', { instanceId: 'i-2' });
  const node = await fixture.addReadyNode(2);
  const running = callFront(node, '/report/a', { method: 'POST', headers: GENERATION_HEADERS });
  await waitUntil('the start of the run', () => writers.executedRequestIds.length === 1);
  const drained = node.kernel.drain();
  const long = { ...GENERATION_HEADERS, 'x-bramleyvane-deadline-ms': '20000' };
  expect((await callFront(node, '/report/b', { method: 'POST', headers: long })).status).toBe(503);
  expect((await callFront(node, '/lookup/a')).status).toBe(200);
  const short = { ...GENERATION_HEADERS, 'x-bramleyvane-length-hint': '20' };
  const label = await callFront(node, '/label/a', { method: 'POST', headers: short });
  expect(label.status).toBe(200);
  expect((await running).text).toBe(STREAM(200));
  await drained;
});
