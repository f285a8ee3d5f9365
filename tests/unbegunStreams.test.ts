/**
 * Tests streams whose engine takes the request and sends nothing, not even a head.
 */
import {
  callFront,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  type FrontNode,
  type FrontResponse,
} from './FrontFixture';
import { waitUntil } from './waitUntil';

type Fields = Readonly<Record<string, unknown>>;

/** Callers abandon a stream of the test's routes after this time without an event. */
const ABANDONED_AFTER_MS = 2_000;

let fixture: FrontFixture;

beforeEach(async () => {
  fixture = await FrontFixture.start();
});

afterEach(async () => fixture.stop());

function createConfiguration(changes: Fields = {}, routeChanges: Fields = {}): Fields {
  const base = createStoreConfiguration(changes);
  const routes = (base.routes as ReadonlyArray<Fields>).map((route) => ({
    ...route,
    timeoutMs: 30_000,
    latencyGoalMs: 400,
    ...routeChanges,
  }));
  return { ...base, routes };
}

async function callStream(node: FrontNode, target: string): Promise<FrontResponse> {
  const headers = { ...GENERATION_HEADERS, 'x-bramleyvane-deadline-ms': '30000' };
  return callFront(node, target, { method: 'POST', headers });
}

const CHANGES = [
  ['none', undefined],
  ['a shorter time-out', createConfiguration({ version: 6 }, { timeoutMs: 1_000 })],
  ['a longer goal', createConfiguration({ version: 6 }, { latencyGoalMs: 4_000 })],
  ['no routes', createConfiguration({ version: 6, routes: [] })],
] as const;

const CASES = ['/report/a', '/label/a'].flatMap((target) =>
  CHANGES.map(([name, change]) => [target, name, change] as const),
);

// Guards against a request that gets neither an answer nor a refusal, because its engine is mute until
// its caller abandons it, also when a new configuration changes its route meanwhile.
test.each(CASES)(
  '%s at a mute engine is answered in time, change: %s',
  async (target, _, change) => {
    fixture.store.put('op/config', createConfiguration());
    const engine = await fixture.addEngine('writers', { instanceId: 'i-writer', events: 3 });
    const node = await fixture.addReadyNode(1);
    engine.behaviour = 'silent';
    const startedAtMs = performance.now();
    const answer = callStream(node, target);
    await waitUntil('the request', () => engine.receivedRequests.length === 1);
    if (change) fixture.store.put('op/config', change);
    const { status, text } = await answer;
    expect(performance.now() - startedAtMs).toBeLessThan(ABANDONED_AFTER_MS);
    expect(status).toBe(504);
    expect(JSON.parse(text)).toMatchObject({ error: { kind: 'answer-timeout', run: 'unknown' } });
    expect(engine.receivedRequests).toHaveLength(1);
  },
);

// Guards against an error that reaches the caller only after its own deadline.
test.each([300, 1_200])('a deadline of %i ms is kept at a mute engine', async (deadlineMs) => {
  fixture.store.put('op/config', createConfiguration());
  const engine = await fixture.addEngine('writers', { instanceId: 'i-writer', events: 3 });
  const node = await fixture.addReadyNode(1);
  engine.behaviour = 'silent';
  const headers = { ...GENERATION_HEADERS, 'x-bramleyvane-deadline-ms': String(deadlineMs) };
  const startedAtMs = performance.now();
  const { status } = await callFront(node, '/label/a', { method: 'POST', headers });
  expect(performance.now() - startedAtMs).toBeLessThan(deadlineMs);
  expect(status).toBe(504);
});

// Guards against a stream that is cut because it lasts longer than its caller waits for its beginning.
test('a stream that has begun goes on beyond that time', async () => {
  fixture.store.put('op/config', createConfiguration());
  const events = 30;
  await fixture.addEngine('writers', { instanceId: 'i-writer', events, eventIntervalMs: 100 });
  const node = await fixture.addReadyNode(1);
  const { status, text } = await callStream(node, '/report/a');
  expect(status).toBe(200);
  expect(text).toContain(`id: ${events}\n`);
});

// Guards against an engine that goes on working on a request that was answered with an error.
test('the mute engine is told to stop', async () => {
  fixture.store.put('op/config', createConfiguration());
  const engine = await fixture.addEngine('writers', { instanceId: 'i-writer', events: 3 });
  const node = await fixture.addReadyNode(1);
  engine.goSilentFor(2_500);
  expect((await callStream(node, '/report/a')).status).toBe(504);
  await waitUntil('the end of the silence', () => engine.behaviour === 'answer');
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  expect(engine.executedRequestIds).toEqual([]);
});
