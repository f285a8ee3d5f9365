/**
 * Callers that keep using their open connections while configurations, endpoints and nodes change.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '../src/decisions';
import { CallerConnection } from './CallerConnection';
import {
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  type FrontNode,
} from './FrontFixture';

/** Longer runs and other seeds are started by hand. */
const SECONDS = Number(process.env.SOAK_SECONDS ?? 10);
const SEED = Number(process.env.SOAK_SEED ?? 1);

const MS_PER_SECOND = 1_000;
const CALLERS = 12;
const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000 };
const TARGETS = ['/lookup/a', '/credit/a', '/report/a', '/label/a'] as const;

const random = new SeededRandom(SEED);
/** Returns a whole number below the bound. */
const drawBelow = (bound: number): number => Math.floor(random.next() * bound);
const pick = <T>(values: ReadonlyArray<T>): T => values[drawBelow(values.length)] as T;

/** Share of the idle limit up to which callers use an open connection again. */
const REUSE_SHARE = 0.8;

/** Time in which a node has applied a new configuration. */
const APPLY_MS = 300;

/** Idle limits, with the times at which they were published. */
let idleLimits: ReadonlyArray<{ readonly atMs: number; readonly limitMs: number }> = [];

/** The shortest limit that may be in force. */
function getIdleLimitMs(): number {
  const settledMs = performance.now() - APPLY_MS;
  const newest = idleLimits.filter(({ atMs }) => atMs > settledMs);
  const settled = idleLimits.filter(({ atMs }) => atMs <= settledMs).slice(-1);
  return Math.min(...[...settled, ...newest].map(({ limitMs }) => limitMs));
}

/** Ids of the requests that were sent, and of those whose connection ended without an answer. */
interface SoakRecord {
  readonly sent: string[];
  readonly unanswered: string[];
  /** Requests that a serving node closed their connections on. */
  readonly closedEarly: string[];
}

/** Sends requests on one connection after the other until the node is gone. */
async function call(node: FrontNode, record: SoakRecord): Promise<void> {
  for (;;) {
    const caller = await CallerConnection.open(node.settings.node.callerAddress).catch(() => {});
    if (!caller) return;
    for (let idleMs = 0; idleMs <= REUSE_SHARE * getIdleLimitMs();) {
      const wasServing = node.kernel.state === 'serving';
      const requestId = caller.send(pick(TARGETS), GENERATION_HEADERS, 'body');
      record.sent.push(requestId);
      const status = await caller.readStatus();
      if (status === 0) record.unanswered.push(requestId);
      if (status === 0 && wasServing) record.closedEarly.push(requestId);
      // A stream ends after its head; 300 ms are longer than any of them.
      idleMs = 300 + drawBelow(2_500);
      await sleep(idleMs);
      // Closed within its limit, which a later configuration may have made longer.
      if (caller.isClosed) break;
    }
    caller.close();
  }
}

async function changeConfiguration(fixture: FrontFixture, untilMs: number): Promise<void> {
  for (let version = 10; performance.now() < untilMs; version += 1) {
    const { routes } = createStoreConfiguration() as {
      readonly routes: ReadonlyArray<Readonly<Record<string, unknown>>>;
    };
    const timeoutMs = 1_000 + drawBelow(3_000);
    const idleTimeoutMs = pick([400, 4_000]);
    const changes = {
      version,
      routes: routes.slice(drawBelow(2)).map((route) => ({ ...route, timeoutMs })),
      limits: { ...LIMITS, idleTimeoutMs },
    };
    idleLimits = [...idleLimits, { atMs: performance.now(), limitMs: idleTimeoutMs }];
    fixture.store.put('op/config', createStoreConfiguration(changes));
    await sleep(500 + drawBelow(1_500));
  }
}

async function replaceEngines(fixture: FrontFixture, untilMs: number): Promise<void> {
  for (let next = 0; performance.now() < untilMs; next += 1) {
    const service = pick(['desk', 'writers']);
    const options = service === 'desk' ? { callMs: 50 } : { events: 30, eventIntervalMs: 5 };
    const engine = await fixture.addEngine(service, { instanceId: `i-${next}`, ...options });
    await sleep(1_000 + drawBelow(500));
    if (next < 4) continue;
    const key = `servers/i-${next}`;
    fixture.store.put(key, engine.createEntry(service, { state: 'draining' }));
    await sleep(1_500);
    fixture.store.remove(key);
    await engine.stop();
  }
}

// Guards against requests that end without an answer while configurations, engines and nodes change
// and the callers keep using their connections until the process is gone.
test('no request that was read ends without an answer', async () => {
  const fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  const nodes = [await fixture.addReadyNode(0), await fixture.addReadyNode(0)];
  const untilMs = performance.now() + SECONDS * MS_PER_SECOND;
  idleLimits = [{ atMs: 0, limitMs: 5_000 }];
  const record: SoakRecord = { sent: [], unanswered: [], closedEarly: [] };
  const changes = [changeConfiguration(fixture, untilMs), replaceEngines(fixture, untilMs)];
  const callers = Array.from({ length: CALLERS }, async (_, index) =>
    call(nodes[index % nodes.length] as FrontNode, record),
  );
  await sleep((SECONDS * MS_PER_SECOND) / 2);
  for (const { kernel } of nodes) {
    await kernel.drain();
    await kernel.dispose();
  }
  await Promise.all([...callers, ...changes]);
  const lines = nodes.flatMap((node) => node.lines);
  const read = new Set(
    lines.filter(({ event }) => event === 'request').map(({ requestId }) => requestId),
  );
  expect(record.closedEarly).toEqual([]);
  // A request that crosses the close of its connection was not read.
  expect(record.unanswered.filter((requestId) => read.has(requestId))).toEqual([]);
  expect(lines.filter(({ event }) => event === 'request ended without an answer')).toEqual([]);
  expect(record.sent.length).toBeGreaterThan(CALLERS * 3);
  await fixture.stop();
}, 900_000);
