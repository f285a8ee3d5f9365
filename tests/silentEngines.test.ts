/**
 * Tests streams whose engine falls silent for a while and goes on, or leaves: such a run is never
 * given up before its continuation is secured.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment, LoadSource, Quarantine } from '../src/services';
import type { PlatformEngine } from '../stand-ins/PlatformEngine';
import {
  callFront,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  type FrontNode,
  type FrontResponse,
} from './FrontFixture';
import { waitUntil } from './waitUntil';

let fixture: FrontFixture;

beforeEach(async () => {
  fixture = await FrontFixture.start();
});

afterEach(async () => {
  await fixture.stop();
});

const EVENTS = 150;
const EVENT_INTERVAL_MS = 10;
/** Longer than the time after which an engine counts as silent, and than one attempt lasts. */
const SILENT_MS = 2_000;
const NO_RETRIES = { retryShare: 0, retryAllowance: 0 };

function writeStream(events: number): string {
  const ids = Array.from({ length: events }, (_, index) => index + 1);
  return ids.map((id) => `id: ${id}\ndata: token ${id}\n\n`).join('');
}

const WHOLE_STREAM = writeStream(EVENTS);

interface ConfigurationChanges {
  readonly backups?: boolean;
  readonly maxAttempts?: number;
  readonly version?: number;
  readonly changes?: Readonly<Record<string, unknown>>;
}

function createConfiguration({
  backups = false,
  maxAttempts = 2,
  version = 5,
  changes = {},
}: ConfigurationChanges): Readonly<Record<string, unknown>> {
  const base = createStoreConfiguration();
  const routes = (base.routes as ReadonlyArray<Readonly<Record<string, unknown>>>).map((route) => ({
    ...route,
    timeoutMs: 30_000,
    ...(route.streamResume === true ? { maxAttempts } : {}),
  }));
  const engine = { kvCapacity: 30_000, stride: 4, moves: true, backups };
  const services = [
    { name: 'desk', maxConnections: 40 },
    { name: 'writers', maxConnections: 40, engine },
  ];
  return { ...base, version, routes, services, ...changes };
}

async function addWriter(instanceId: string, isUnframed = false): Promise<PlatformEngine> {
  return fixture.addEngine('writers', {
    instanceId,
    events: EVENTS,
    eventIntervalMs: EVENT_INTERVAL_MS,
    isUnframed,
  });
}

async function call(node: FrontNode, route: 'report' | 'label'): Promise<FrontResponse> {
  const headers = { ...GENERATION_HEADERS, 'x-bramleyvane-deadline-ms': '30000' };
  return callFront(node, `/${route}/a`, { method: 'POST', headers });
}

function listRuns(engines: ReadonlyArray<PlatformEngine>): ReadonlyArray<string> {
  return engines.flatMap(({ executedRequestIds }) => executedRequestIds);
}

interface StartedStream {
  readonly node: FrontNode;
  readonly answer: Promise<FrontResponse>;
  readonly primary: PlatformEngine;
  readonly other: PlatformEngine;
}

/** Starts a stream on one of two engines and waits until the other one has its backup. */
async function startReplicatedStream(
  route: 'report' | 'label',
  bounds?: Readonly<Record<string, number>>,
  isUnframed = false,
): Promise<StartedStream> {
  const engines = [await addWriter('i-1', isUnframed), await addWriter('i-2', isUnframed)];
  const node = await fixture.addReadyNode(2, bounds);
  const answer = call(node, route);
  answer.catch(() => {});
  const other = await waitUntil('the backup', () => engines.find(({ copies }) => copies.size > 0));
  const primary = engines.find((engine) => engine !== other) as PlatformEngine;
  await sleep(100);
  return { node, answer, primary, other };
}

/** Announces that an engine leaves; it goes on serving. */
function leave(engine: PlatformEngine): void {
  const id = engine === fixture.engines[0] ? 'i-1' : 'i-2';
  fixture.store.put(`servers/${id}`, engine.createEntry('writers', { state: 'draining' }));
}

// Guards against a stream that is cut because its backup was refused while its sound engine was
// silent for a moment.
test('keeps the silent engine when the backup is refused', async () => {
  fixture.store.put('op/config', createConfiguration({ backups: true }));
  const { node, answer, primary, other } = await startReplicatedStream('report');
  other.refusesCopies = true;
  primary.goSilentFor(SILENT_MS);
  expect((await answer).text).toBe(WHOLE_STREAM);
  expect(listRuns([primary, other])).toHaveLength(1);
  expect(other.receivedRequests).toHaveLength(1);
  expect(node.lines).toContainEqual(
    expect.objectContaining({ what: 'engine silent', outcome: 'stays: refused' }),
  );
});

// Guards against a stream that is cut because no repeat was left while its engine was silent.
test.each([
  ['report', true],
  ['label', true],
  ['label', false],
] as const)('keeps the silent engine without a budget: %s, backup %s', async (route, backups) => {
  fixture.store.put('op/config', createConfiguration({ backups }));
  const engines = [await addWriter('i-1'), await addWriter('i-2')];
  const node = await fixture.addReadyNode(2, NO_RETRIES);
  const answer = call(node, route);
  const primary = await waitUntil('the start of the run', () =>
    engines.find(({ executedRequestIds }) => executedRequestIds.length > 0),
  );
  await sleep(100);
  primary.goSilentFor(SILENT_MS);
  expect((await answer).text).toBe(WHOLE_STREAM);
  expect(listRuns(engines)).toHaveLength(1);
});

// Guards against a resumable stream that is cut because its route allows no further endpoint, or
// because there is none, while its engine is silent.
test.each([
  ['one endpoint allowed', 1, 2],
  ['one engine', 2, 1],
])('keeps the silent engine of a resumable stream: %s', async (_name, maxAttempts, count) => {
  fixture.store.put('op/config', createConfiguration({ maxAttempts }));
  const engines = await Promise.all(
    ['i-1', 'i-2'].slice(0, count).map(async (instanceId) => addWriter(instanceId)),
  );
  const node = await fixture.addReadyNode(count);
  const answer = call(node, 'label');
  const primary = await waitUntil('the start of the run', () =>
    engines.find(({ executedRequestIds }) => executedRequestIds.length > 0),
  );
  await sleep(100);
  primary.goSilentFor(SILENT_MS);
  expect((await answer).text).toBe(WHOLE_STREAM);
  expect(listRuns(engines)).toHaveLength(1);
});

// Guards against a stream that is fed by two engines, or that is cut, when its silent engine wakes
// while another engine is still to answer.
test('stays with an engine that wakes before the other one has answered', async () => {
  fixture.store.put('op/config', createConfiguration({ backups: true }));
  const { node, answer, primary, other } = await startReplicatedStream('report');
  other.continuationDelayMs = 250;
  primary.goSilentFor(60_000);
  await waitUntil('the attempt', () => other.receivedRequests.length === 1);
  primary.wake();
  expect((await answer).text).toBe(WHOLE_STREAM);
  expect(listRuns([primary, other])).toHaveLength(1);
  expect(node.lines).toContainEqual(
    expect.objectContaining({ what: 'engine silent', outcome: 'stays: engine woke' }),
  );
});

// Guards against events that come twice or from two engines when a silent engine wakes after
// another one has taken the run over.
test.each([
  ['from-copy', 'report', true],
  ['new-run', 'label', false],
] as const)(
  'an engine that wakes after a takeover is not heard: %s',
  async (kind, route, backups) => {
    fixture.store.put('op/config', createConfiguration({ backups }));
    const engines = [await addWriter('i-1'), await addWriter('i-2')];
    const node = await fixture.addReadyNode(2);
    const answer = call(node, route);
    const primary = await waitUntil('the start of the run', () =>
      engines.find(({ executedRequestIds }) => executedRequestIds.length > 0),
    );
    const other = engines.find((engine) => engine !== primary) as PlatformEngine;
    await sleep(100);
    primary.goSilentFor(60_000);
    await waitUntil('the takeover', () => other.executedRequestIds.length === 1);
    primary.wake();
    await waitUntil('the close', () => primary.runningCount === 0);
    expect((await answer).text).toBe(WHOLE_STREAM);
    expect(node.lines).toContainEqual(
      expect.objectContaining({ what: 'engine silent', outcome: `taken over: ${kind}` }),
    );
  },
);

// Guards against a stream that is given up for an engine which doesn't answer either.
test('stays with a silent engine when the other one is silent too', async () => {
  fixture.store.put('op/config', createConfiguration({ backups: true }));
  const { node, answer, primary, other } = await startReplicatedStream('report');
  other.goSilentFor(60_000);
  primary.goSilentFor(SILENT_MS);
  expect((await answer).text).toBe(WHOLE_STREAM);
  expect(primary.executedRequestIds).toHaveLength(1);
  expect(node.lines).toContainEqual(
    expect.objectContaining({ what: 'engine silent', outcome: 'stays: no answer' }),
  );
});

// Guards against a stream that is cut because an order to stop its run failed, although its leaving
// engine would have finished it.
test.each([
  ['refused', true],
  ['accepted', false],
])('a run that its engine does not stop goes on: copy %s', async (_name, refusesCopies) => {
  fixture.store.put('op/config', createConfiguration({}));
  const options = { events: 250, eventIntervalMs: 20 };
  const first = await fixture.addEngine('writers', { instanceId: 'i-1', ...options });
  const node = await fixture.addReadyNode(1);
  const answer = call(node, 'report');
  answer.catch(() => {});
  await waitUntil('the start of the run', () => first.executedRequestIds.length === 1);
  const second = await fixture.addEngine('writers', { instanceId: 'i-2', ...options });
  await waitUntil('the second engine', () => node.kernel.get(Deployment).listAll().length === 2);
  first.ignoresFinalCopies = true;
  second.refusesCopies = refusesCopies;
  fixture.store.put('servers/i-1', first.createEntry('writers', { state: 'draining' }));
  expect((await answer).text).toBe(writeStream(250));
  expect(second.executedRequestIds).toHaveLength(refusesCopies ? 0 : 1);
  if (!refusesCopies) await waitUntil('the close', () => first.runningCount === 0);
});

// Guards against a stream that is cut when its leaving engine ends, as only then it turns out that
// its backup is gone, although the run could have been migrated before.
test('a run on a leaving engine is migrated when its backup is gone', async () => {
  fixture.store.put('op/config', createConfiguration({ backups: true }));
  const { answer, primary, other } = await startReplicatedStream('report');
  other.copies.clear();
  leave(primary);
  await sleep(800);
  primary.crash();
  expect((await answer).text).toBe(WHOLE_STREAM);
});

// Guards against a run that waits for the end of its leaving engine although it has a backup, and
// against an unframed stream that looks complete when its connection is closed for the takeover.
test.each([false, true])('a backup takes over from a leaving engine: unframed %s', async (is) => {
  fixture.store.put('op/config', createConfiguration({ backups: true }));
  const { node, answer, primary, other } = await startReplicatedStream('report', undefined, is);
  leave(primary);
  await waitUntil('the takeover', () => other.executedRequestIds.length === 1);
  await waitUntil('the close', () => primary.runningCount === 0);
  expect((await answer).text).toBe(WHOLE_STREAM);
  expect(other.receivedRequests).toHaveLength(1);
  expect(node.lines).toContainEqual(
    expect.objectContaining({ what: 'engine leaving', outcome: 'taken over: from-copy' }),
  );
});

// Guards against a stream that is cut when its leaving engine ends, as the retry budget doesn't
// allow the backup then, although the run could have been migrated before.
test('a run on a leaving engine is migrated when no budget is left for its backup', async () => {
  fixture.store.put('op/config', createConfiguration({ backups: true }));
  const { answer, primary, other } = await startReplicatedStream('report', NO_RETRIES);
  leave(primary);
  await sleep(800);
  primary.crash();
  expect((await answer).text).toBe(WHOLE_STREAM);
  expect(other.executedRequests.map(({ headers }) => headers['kv-from'])).toEqual([
    expect.stringMatching(/-copy$/),
  ]);
});

// Guards against a run that moves to an engine which leaves as well.
test('a run is migrated past a backup that leaves too', async () => {
  fixture.store.put('op/config', createConfiguration({ backups: true }));
  const { node, answer, primary, other } = await startReplicatedStream('report');
  const third = await addWriter('i-3');
  await waitUntil('the third engine', () => node.kernel.get(Deployment).listAll().length === 3);
  leave(other);
  const deployment = node.kernel.get(Deployment);
  await waitUntil('the notice', () => deployment.listAssignable('writers').length === 2);
  leave(primary);
  expect((await answer).text).toBe(WHOLE_STREAM);
  expect(other.executedRequestIds).toEqual([]);
  expect(third.executedRequestIds).toHaveLength(1);
});

// Guards against a part that is sent to another engine although it was quarantined while the backup
// was refused, and against a stream that is cut because of this.
test('a run stays on its leaving engine when its prompt is quarantined meanwhile', async () => {
  fixture.store.put('op/config', createConfiguration({ backups: true }));
  const { node, answer, primary, other } = await startReplicatedStream('report');
  other.refusesCopies = true;
  other.continuationDelayMs = 150;
  leave(primary);
  await waitUntil('the attempt', () => other.receivedRequests.length === 1);
  const harmful = { parts: ['aa' as never], crashes: 5, retryAtMs: 0 };
  const refusal = { outcome: 'refuse', harmful, retryAfterMs: 1 } as const;
  jest.spyOn(node.kernel.get(Quarantine), 'check').mockReturnValue(refusal);
  expect((await answer).text).toBe(WHOLE_STREAM);
  expect(listRuns([primary, other])).toHaveLength(1);
  expect(other.receivedRequests).toHaveLength(1);
});

// Guards against two attempts at a time when the engine of a run is silent and then leaves.
test('a leaving engine that is silent is left by one attempt at a time', async () => {
  fixture.store.put('op/config', createConfiguration({ backups: true }));
  const { node, answer, primary, other } = await startReplicatedStream('report');
  other.continuationDelayMs = 200;
  primary.goSilentFor(60_000);
  await waitUntil('the attempt', () => other.receivedRequests.length === 1);
  leave(primary);
  const deployment = node.kernel.get(Deployment);
  await waitUntil('the notice', () => deployment.listAssignable('writers').length === 1);
  expect(other.executedRequestIds).toEqual([]);
  expect((await answer).text).toBe(WHOLE_STREAM);
  expect(other.receivedRequests).toHaveLength(1);
});

// Guards against a stream that is cut, or whose last events come twice or not at all, when it ends
// while its backup is still to answer.
test.each([1_200, 1_300, 1_400])(
  'a stream that ends about when its engine leaves is whole: after %i ms',
  async (delayMs) => {
    fixture.store.put('op/config', createConfiguration({ backups: true }));
    const { answer, primary, other } = await startReplicatedStream('report');
    other.continuationDelayMs = 150;
    await sleep(delayMs);
    leave(primary);
    expect((await answer).text).toBe(WHOLE_STREAM);
  },
);

// Guards against a run that doesn't count as load of its engine, which then gets too much work, when
// only the later of its two copies was accepted.
test('a run that continues from its later copy counts as load', async () => {
  fixture.store.put('op/config', createConfiguration({}));
  const first = await addWriter('i-1');
  const node = await fixture.addReadyNode(1);
  const answer = call(node, 'report');
  answer.catch(() => {});
  await waitUntil('the start of the run', () => first.executedRequestIds.length === 1);
  const second = await addWriter('i-2');
  await waitUntil('the second engine', () => node.kernel.get(Deployment).listAll().length === 2);
  second.refusesCopies = true;
  second.continuationDelayMs = 100;
  leave(first);
  await waitUntil('the later copy', () => second.receivedRequests.length === 2);
  second.refusesCopies = false;
  await waitUntil('the run', () => second.executedRequestIds.length === 1);
  await sleep(100);
  const loads = node.kernel.get(LoadSource).listLoads();
  expect(loads).toContainEqual(expect.objectContaining({ endpointId: 'i-2', requests: 1 }));
  expect((await answer).text).toBe(WHOLE_STREAM);
});

// Guards against a stream that is cut when its run was stopped to be migrated and the other engine
// refuses both copies, although the stopped engine keeps the memory and still serves.
test('a stopped run goes on where it was when the other engine refuses it', async () => {
  fixture.store.put('op/config', createConfiguration({}));
  const first = await addWriter('i-1');
  const node = await fixture.addReadyNode(1);
  const answer = call(node, 'report');
  answer.catch(() => {});
  await waitUntil('the start of the run', () => first.executedRequestIds.length === 1);
  const second = await addWriter('i-2');
  await waitUntil('the second engine', () => node.kernel.get(Deployment).listAll().length === 2);
  second.refusesCopies = true;
  first.copies.add(`${first.executedRequestIds[0] ?? ''}-copy`);
  leave(first);
  await waitUntil('the later copy', () => second.receivedRequests.length === 2);
  await waitUntil('the run', () => first.executedRequestIds.length === 2);
  second.refusesCopies = false;
  expect((await answer).text).toBe(WHOLE_STREAM);
});
