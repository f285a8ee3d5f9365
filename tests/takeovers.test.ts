/**
 * Tests what a takeover of a run leaves behind: the stream, its repeats, and the load of both engines.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { LoadSource } from '../src/services';
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

const HEADERS = { ...GENERATION_HEADERS, 'x-bramleyvane-deadline-ms': '12000' };

const TEST_TIMEOUT_MS = 30_000;

let fixture: FrontFixture;

beforeEach(async () => {
  fixture = await FrontFixture.start();
});

afterEach(async () => {
  await fixture.stop();
});

function configure(backups: boolean): void {
  const base = createStoreConfiguration();
  const routes = (base.routes as ReadonlyArray<Readonly<Record<string, unknown>>>).map((route) => ({
    ...route,
    timeoutMs: 12_000,
  }));
  const engine = { kvCapacity: 30_000, stride: 4, moves: true, backups };
  const services = [
    { name: 'desk', maxConnections: 40 },
    { name: 'writers', maxConnections: 40, engine },
  ];
  fixture.store.put('op/config', { ...base, routes, services });
}

function countEvents({ text }: FrontResponse): number {
  return [...text.matchAll(/^id: (\d+)$/gm)].length;
}

interface StartedStream {
  readonly node: FrontNode;
  readonly answer: Promise<FrontResponse>;
  readonly primary: PlatformEngine;
  readonly other: PlatformEngine;
}

/** Starts a stream on one of two engines; the other one has its backup. */
async function startStream(route: 'report' | 'label', events: number): Promise<StartedStream> {
  configure(true);
  const options = { events, eventIntervalMs: 10 };
  const engines = [
    await fixture.addEngine('writers', { instanceId: 'i-1', ...options }),
    await fixture.addEngine('writers', { instanceId: 'i-2', ...options }),
  ];
  const node = await fixture.addReadyNode(2);
  const answer = callFront(node, `/${route}/a`, { method: 'POST', headers: HEADERS });
  answer.catch(() => {});
  const other = await waitUntil('the backup', () => engines.find(({ copies }) => copies.size > 0));
  const primary = engines.find((engine) => engine !== other) as PlatformEngine;
  await sleep(100);
  return { node, answer, primary, other };
}

// Guards against a stream that is cut because its copy was refused late, while the other engine sent
// to other callers: that was taken for an acceptance.
test(
  'keeps the silent engine when the backup is refused late',
  async () => {
    const { node, answer, primary, other } = await startStream('report', 400);
    const others = [0, 1, 2].map(async () =>
      callFront(node, '/report/b', { method: 'POST', headers: HEADERS }).catch(() => {}),
    );
    await waitUntil('another stream', () => other.executedRequestIds.length > 0);
    other.continuationDelayMs = 600;
    other.refusesCopies = true;
    primary.goSilentFor(1_800);
    expect(countEvents(await answer)).toBe(400);
    await Promise.all(others);
  },
  TEST_TIMEOUT_MS,
);

// Guards against a stream that is cut because a withdrawn takeover counted as one of its endpoints.
test(
  'a withdrawn takeover leaves a resumable stream its repeat',
  async () => {
    const { answer, primary, other } = await startStream('label', 600);
    other.continuationDelayMs = 5_000;
    primary.goSilentFor(1_900);
    await sleep(3_000);
    other.continuationDelayMs = 0;
    other.refusesCopies = true;
    primary.crash();
    expect(countEvents(await answer)).toBe(600);
  },
  TEST_TIMEOUT_MS,
);

// Guards against a run that was taken over and isn't counted in the load of its new engine.
test(
  'a run that was taken over holds its place',
  async () => {
    configure(false);
    const options = { events: 800, eventIntervalMs: 10 };
    const first = await fixture.addEngine('writers', { instanceId: 'i-1', ...options });
    const node = await fixture.addReadyNode(1);
    const answer = callFront(node, '/report/a', { method: 'POST', headers: HEADERS });
    answer.catch(() => {});
    await waitUntil('the run', () => first.executedRequestIds.length > 0);
    const second = await fixture.addEngine('writers', { instanceId: 'i-2', ...options });
    await sleep(500);
    first.ignoresFinalCopies = true;
    fixture.store.put('servers/i-1', first.createEntry('writers', { state: 'draining' }));
    await waitUntil('the takeover', () => second.runningCount > 0);
    await sleep(500);
    const loads = node.kernel.get(LoadSource).listLoads();
    expect(loads.find(({ endpointId }) => endpointId === 'i-2')?.requests).toBe(1);
  },
  TEST_TIMEOUT_MS,
);

// Guards against a run that is sent to an engine which began to leave while the run was copied there.
test('a run moves past an engine that leaves during the copy', async () => {
  configure(false);
  const ids = ['i-1', 'i-2', 'i-3'];
  const options = { events: 300, eventIntervalMs: 10 };
  const engines: PlatformEngine[] = [];
  for (const instanceId of ids) {
    engines.push(await fixture.addEngine('writers', { instanceId, ...options, copyDelayMs: 600 }));
  }
  const node = await fixture.addReadyNode(ids.length);
  const answer = callFront(node, '/report/a', { method: 'POST', headers: HEADERS });
  const primary = await waitUntil('the run', () =>
    engines.find(({ runningCount }) => runningCount > 0),
  );
  const leave = (engine: PlatformEngine): void =>
    fixture.store.put(
      `servers/${ids[engines.indexOf(engine)]}`,
      engine.createEntry('writers', { state: 'draining' }),
    );
  leave(primary);
  const line = await waitUntil('the choice', () => node.lines.find(({ step }) => step === 'place'));
  const chosen = engines[ids.indexOf(String(line.endpointId))] as PlatformEngine;
  leave(chosen);
  expect(countEvents(await answer)).toBe(options.events);
  expect(chosen.receivedRequests).toEqual([]);
});
