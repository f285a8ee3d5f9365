/**
 * Plays random interleavings of silence, wake-up, accepted and refused takeovers, deadlines and
 * callers that leave. All streams of a seed run at the same time on one node, each with a service
 * and engines of its own.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import fc from 'fast-check';
import { request } from 'undici';
import type { PlatformEngine } from '../stand-ins/PlatformEngine';
import {
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  HOST,
  type FrontNode,
} from './FrontFixture';

const FIRST_SEED = Number(process.env.SILENCE_FIRST_SEED ?? 3);
const SEEDS = Number(process.env.SILENCE_SEEDS ?? 2);
const STREAMS_PER_SEED = 16;
const EVENTS = 150;
const EVENT_INTERVAL_MS = 10;
/** Longer than any stream takes, so that only short deadlines end one. */
const LONG_DEADLINE_MS = 30_000;
/** Two engines may work on one run for as long. */
const MAX_OVERLAP_MS = 400;
const SAMPLE_INTERVAL_MS = 20;

const WHOLE_STREAM = Array.from(
  { length: EVENTS },
  (_, index) => `id: ${index + 1}\ndata: token ${index + 1}\n\n`,
).join('');

interface Silence {
  readonly engine: number;
  readonly atMs: number;
  readonly forMs: number;
}

interface Scenario {
  readonly isResumable: boolean;
  readonly hasBackup: boolean;
  readonly hasOtherEngine: boolean;
  readonly refusesCopies: boolean;
  readonly continuationDelayMs: number;
  readonly silences: ReadonlyArray<Silence>;
  readonly deadlineMs: number;
  readonly closeAfterMs: number | undefined;
}

const scenarios: fc.Arbitrary<Scenario> = fc.record({
  isResumable: fc.boolean(),
  hasBackup: fc.boolean(),
  hasOtherEngine: fc.oneof({ weight: 4, arbitrary: fc.constant(true) }, fc.constant(false)),
  refusesCopies: fc.boolean(),
  continuationDelayMs: fc.constantFrom(0, 50, 200, 280, 320, 1_200),
  silences: fc.array(
    fc.record({
      engine: fc.oneof({ weight: 3, arbitrary: fc.constant(0) }, fc.constant(1)),
      atMs: fc.integer({ min: 50, max: 1_200 }),
      // Many silences end while an attempt to take the run over is open.
      forMs: fc.oneof(fc.integer({ min: 300, max: 2_600 }), fc.integer({ min: 1_100, max: 1_600 })),
    }),
    { minLength: 1, maxLength: 3 },
  ),
  deadlineMs: fc.oneof(
    { weight: 4, arbitrary: fc.constant(LONG_DEADLINE_MS) },
    fc.integer({ min: 300, max: 3_000 }),
  ),
  closeAfterMs: fc.oneof(
    { weight: 4, arbitrary: fc.constant(undefined) },
    fc.integer({ min: 200, max: 3_000 }),
  ),
});

interface StreamResult {
  readonly end: 'complete' | 'broken' | 'refused';
  readonly text: string;
  readonly overlapMs: number;
  readonly engines: ReadonlyArray<PlatformEngine>;
}

function createConfiguration(played: ReadonlyArray<Scenario>): Readonly<Record<string, unknown>> {
  return createStoreConfiguration({
    routes: played.map(({ isResumable }, index) => ({
      name: `route-${index}`,
      host: HOST,
      prefix: `/${index}/`,
      kind: 'streaming',
      service: `writers-${index}`,
      timeoutMs: LONG_DEADLINE_MS,
      latencyGoalMs: 1_000,
      priority: 1,
      ...(isResumable ? { streamResume: true, maxAttempts: 2 } : {}),
    })),
    services: played.map(({ hasBackup }, index) => ({
      name: `writers-${index}`,
      maxConnections: 40,
      engine: { kvCapacity: 30_000, stride: 4, moves: true, backups: hasBackup },
    })),
  });
}

async function addEngines(
  fixture: FrontFixture,
  scenario: Scenario,
  index: number,
): Promise<ReadonlyArray<PlatformEngine>> {
  const options = { events: EVENTS, eventIntervalMs: EVENT_INTERVAL_MS };
  const ids = scenario.hasOtherEngine ? [0, 1] : [0];
  return Promise.all(
    ids.map(async (id) => {
      const instanceId = `i-${index}-${id}`;
      const engine = await fixture.addEngine(`writers-${index}`, { instanceId, ...options });
      return Object.assign(engine, {
        refusesCopies: scenario.refusesCopies,
        continuationDelayMs: scenario.continuationDelayMs,
      });
    }),
  );
}

/** Returns the longest time for which both engines worked, until the stream has ended. */
async function measureOverlap(
  engines: ReadonlyArray<PlatformEngine>,
  ended: AbortSignal,
): Promise<number> {
  let longestMs = 0;
  let sinceMs: number | undefined;
  while (!ended.aborted) {
    const isOverlap = engines.filter(({ runningCount }) => runningCount > 0).length > 1;
    const nowMs = performance.now();
    sinceMs = isOverlap ? (sinceMs ?? nowMs) : undefined;
    longestMs = Math.max(longestMs, nowMs - (sinceMs ?? nowMs));
    await sleep(SAMPLE_INTERVAL_MS);
  }
  return longestMs;
}

async function readStream(
  node: FrontNode,
  { deadlineMs, closeAfterMs }: Scenario,
  name: string,
): Promise<Pick<StreamResult, 'end' | 'text'>> {
  const left = new AbortController();
  if (closeAfterMs !== undefined) setTimeout(() => left.abort(), closeAfterMs).unref();
  let text = '';
  try {
    const response = await request(`http://${node.settings.node.callerAddress}/${name}/a`, {
      method: 'POST',
      headers: {
        ...GENERATION_HEADERS,
        host: HOST,
        authorization: 'Token key-1',
        'x-bramleyvane-request-id': `request-${name}`,
        'x-bramleyvane-deadline-ms': String(deadlineMs),
      },
      signal: left.signal,
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      return { end: 'refused', text };
    }
    for await (const chunk of response.body) text += String(chunk);
    return { end: 'complete', text };
  } catch {
    return { end: 'broken', text };
  }
}

async function playScenario(
  node: FrontNode,
  engines: ReadonlyArray<PlatformEngine>,
  scenario: Scenario,
  name: string,
): Promise<StreamResult> {
  const ended = new AbortController();
  const overlap = measureOverlap(engines, ended.signal);
  const reading = readStream(node, scenario, name);
  await sleep(30);
  // Engine 0 of a scenario is the one that runs the stream.
  const first = engines.find(({ runningCount }) => runningCount > 0) ?? engines[0];
  const ordered = [first, ...engines.filter((engine) => engine !== first)];
  scenario.silences.forEach(({ engine, atMs, forMs }) => {
    setTimeout(() => ordered[engine]?.goSilentFor(forMs), atMs).unref();
  });
  const { end, text } = await reading;
  ended.abort();
  return { end, text, overlapMs: await overlap, engines };
}

/** Runs that are no continuation of another one. */
function countNewRuns(engines: ReadonlyArray<PlatformEngine>): number {
  return engines
    .flatMap(({ executedRequests }) => executedRequests)
    .filter(({ headers }) => headers['kv-from'] === undefined).length;
}

function checkResult(scenario: Scenario, result: StreamResult): void {
  const { end, text, overlapMs, engines } = result;
  const seen = { scenario, end, length: text.length, overlapMs };
  const isPrefix = WHOLE_STREAM.startsWith(text) && (text === '' || text.endsWith('\n\n'));
  const isUndisturbed =
    scenario.deadlineMs === LONG_DEADLINE_MS && scenario.closeAfterMs === undefined;
  expect({ ...seen, isPrefix }).toEqual({ ...seen, isPrefix: true });
  const isWhole = text === WHOLE_STREAM;
  if (end === 'complete') expect({ ...seen, isWhole }).toEqual({ ...seen, isWhole: true });
  if (isUndisturbed) expect(seen).toEqual({ ...seen, end: 'complete' });
  expect({ ...seen, isShort: overlapMs < MAX_OVERLAP_MS }).toEqual({ ...seen, isShort: true });
  const newRuns = countNewRuns(engines);
  const mayRun = newRuns <= (scenario.isResumable ? 2 : 1);
  expect({ ...seen, newRuns, mayRun }).toEqual({ ...seen, newRuns, mayRun: true });
}

// Guards against a stream that loses, repeats or mixes events, is cut, or is fed by two engines when
// its engine falls silent, wakes, or another one takes over, in any order.
test.each(Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index))(
  'streams of silent engines stay whole: seed %i',
  async (seed) => {
    const played = fc.sample(scenarios, { seed, numRuns: STREAMS_PER_SEED });
    const fixture = await FrontFixture.start();
    try {
      fixture.store.put('op/config', createConfiguration(played));
      const engines = await Promise.all(
        played.map(async (scenario, index) => addEngines(fixture, scenario, index)),
      );
      const node = await fixture.addReadyNode(engines.flat().length);
      const results = await Promise.all(
        played.map(async (scenario, index) =>
          playScenario(node, engines[index] ?? [], scenario, String(index)),
        ),
      );
      results.forEach((result, index) => checkResult(played[index] as Scenario, result));
      expect(node.lines.filter(({ event }) => event === 'task failed')).toEqual([]);
    } finally {
      await fixture.stop();
    }
  },
);
