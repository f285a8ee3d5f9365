/**
 * Tests endpoints whose answers name the requests a second that they take from all nodes together.
 */
import type { PlatformEngine, ReceivedRequest } from '../stand-ins/PlatformEngine';
import {
  callFront,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  type FrontNode,
  type FrontResponse,
} from './FrontFixture';
import { waitUntil } from './waitUntil';

const LIMIT_PER_SECOND = 2;

/** The platform's rule: in any 4 s at most one and a half times the limit, and 5 requests. */
const WINDOW_MS = 4_000;
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * (WINDOW_MS / 1_000) + 5;

const LIMITED = 'i-desk-1';
const OTHER = 'i-desk-2';

let fixture: FrontFixture;

beforeEach(async () => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
});

afterEach(async () => fixture.stop());

async function pause(delayMs: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Sends requests at a steady rate for a time, to each node in turn, and returns the responses. */
async function callSteadily(
  nodes: ReadonlyArray<FrontNode>,
  target: string,
  forMs: number,
): Promise<ReadonlyArray<FrontResponse>> {
  const calls: Array<Promise<FrontResponse>> = [];
  const endMs = performance.now() + forMs;
  for (let index = 0; performance.now() < endMs; index += 1) {
    const node = nodes[index % nodes.length]!;
    calls.push(callFront(node, target, { headers: GENERATION_HEADERS }));
    await pause(25);
  }
  return Promise.all(calls);
}

/** Returns the most requests that arrived in a window of 4 s, from some time after the first one. */
function countPeak(received: ReadonlyArray<ReceivedRequest>, afterMs: number): number {
  const startMs = (received[0]?.receivedAtMs ?? 0) + afterMs;
  const arrivalsMs = received.map(({ receivedAtMs }) => receivedAtMs).filter((at) => at >= startMs);
  const countFrom = (fromMs: number): number =>
    arrivalsMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;
  return Math.max(0, ...arrivalsMs.map(countFrom));
}

async function startDesks(): Promise<[PlatformEngine, PlatformEngine]> {
  return [
    await fixture.addEngine('desk', { instanceId: LIMITED }),
    await fixture.addEngine('desk', { instanceId: OTHER }),
  ];
}

const hasLogged = ({ lines }: FrontNode, state: string): boolean =>
  lines.some((line) => line.event === 'endpoint limit' && line.state === state);

// Guards against an endpoint in need that gets as many requests as before it named its limit, from one
// node or from several that each know of it.
test.each([
  ['one node', 1],
  ['three nodes', 3],
])('%s: a named limit holds in any window', async (_name, count) => {
  const [limited, other] = await startDesks();
  for (let index = 0; index < count; index += 1) await fixture.addReadyNode(2);
  await fixture.waitForMembers();
  limited.limitHeader = String(LIMIT_PER_SECOND);
  const responses = await callSteadily(fixture.nodes, '/lookup/a', 5_500);
  expect(countPeak(limited.receivedRequests, 500)).toBeLessThanOrEqual(MAX_IN_WINDOW);
  expect(limited.receivedRequests.length).toBeGreaterThan(2);
  expect(other.receivedRequests.length).toBeGreaterThan(100);
  expect(responses.filter(({ status }) => status !== 200)).toEqual([]);
});

// Guards against retries that go around the limit.
test('retries keep to the limit', async () => {
  const [limited, other] = await startDesks();
  const node = await fixture.addReadyNode(2);
  limited.limitHeader = String(LIMIT_PER_SECOND);
  other.behaviour = 'shed';
  await callSteadily([node], '/lookup/a', 4_500);
  expect(countPeak(limited.receivedRequests, 500)).toBeLessThanOrEqual(MAX_IN_WINDOW);
});

// Guards against streams that go around the limit.
test('an engine that names a limit gets no more streams', async () => {
  const options = { instanceId: 'i-writer-1', events: 2, eventIntervalMs: 1 };
  const limited = await fixture.addEngine('writers', options);
  const node = await fixture.addReadyNode(1);
  limited.limitHeader = String(LIMIT_PER_SECOND);
  await callSteadily([node], '/label/a', 4_500);
  expect(countPeak(limited.receivedRequests, 500)).toBeLessThanOrEqual(MAX_IN_WINDOW);
});

// Guards against requests that wait although all endpoints have named limits, and against refusals
// that don't say when to come back.
test('a call is refused at once when all endpoints have got what they take', async () => {
  const limited = await fixture.addEngine('desk', { instanceId: LIMITED });
  const node = await fixture.addReadyNode(1);
  limited.limitHeader = String(LIMIT_PER_SECOND);
  const responses = await callSteadily([node], '/credit/a', 1_500);
  const refused = responses.filter(({ status }) => status === 503);
  const before = limited.receivedRequests.length;
  expect(refused.length + before).toBe(responses.length);
  expect(refused.length).toBeGreaterThan(0);
  const waitsMs = refused.map(({ headers }) => Number(headers['retry-after']) * 1_000);
  expect(Math.min(...waitsMs)).toBeGreaterThan(0);
  expect(Math.max(...waitsMs)).toBeLessThanOrEqual(WINDOW_MS + 200);
});

// Guards against nodes that learn of a limit only from an answer of their own, so that each of a large
// fleet sends a request more.
test('other nodes learn of a limit and keep to it', async () => {
  const [limited] = await startDesks();
  const [first, second] = [await fixture.addReadyNode(2), await fixture.addReadyNode(2)];
  await fixture.waitForMembers();
  limited.limitHeader = '0';
  await callSteadily([first], '/lookup/a', 500);
  await waitUntil('the other node', () => hasLogged(second, 'named'));
  const before = limited.receivedRequests.length;
  await callSteadily([second], '/lookup/a', 1_000);
  expect(limited.receivedRequests).toHaveLength(before);
});

// Guards against an endpoint that is spared for good because it once named a limit.
test('a limit ends with an answer that names none', async () => {
  const [limited, other] = await startDesks();
  const node = await fixture.addReadyNode(2);
  limited.limitHeader = String(LIMIT_PER_SECOND);
  await callSteadily([node], '/lookup/a', 1_000);
  limited.limitHeader = undefined;
  await waitUntil('the end of the limit', async () => {
    await callSteadily([node], '/lookup/a', 200);
    return hasLogged(node, 'ended');
  });
  limited.receivedRequests = [];
  other.receivedRequests = [];
  await callSteadily([node], '/lookup/a', 1_500);
  expect(limited.receivedRequests.length).toBeGreaterThan(15);
});

// Guards against a sound endpoint that is spared for a header that names no number.
test.each([
  ['no number', 'many'],
  ['a negative number', '-1'],
  ['no value', ''],
])('a header with %s names no limit', async (_name, header) => {
  const [limited] = await startDesks();
  const node = await fixture.addReadyNode(2);
  limited.limitHeader = header;
  await callSteadily([node], '/lookup/a', 1_500);
  expect(limited.receivedRequests.length).toBeGreaterThan(15);
});
