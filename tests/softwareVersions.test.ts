import { Deployment } from '../src/services';
import type { PlatformEngine } from '../stand-ins/PlatformEngine';
import { EventReader } from './EventReader';
import {
  createServicesWithBackups,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  type FrontNode,
} from './FrontFixture';
import { waitUntil } from './waitUntil';

const STREAMS = 16;
const EVENTS = 30;
const SLOTS = 16;

/** Of each version. */
const ENGINES = 2;

let fixture: FrontFixture;

beforeEach(async () => {
  fixture = await FrontFixture.start();
});

afterEach(async () => {
  await fixture.stop();
});

async function addEngines(version: string, entry = {}): Promise<ReadonlyArray<PlatformEngine>> {
  return Promise.all(
    Array.from({ length: ENGINES }, async (_, index) => {
      const options = {
        instanceId: `i-${version}-${index}`,
        softwareVersion: version,
        events: EVENTS,
        eventIntervalMs: 25,
      };
      return fixture.addEngine('writers', options, { slots: SLOTS, ...entry });
    }),
  );
}

function removeEntries(version: string): void {
  for (let index = 0; index < ENGINES; index++) {
    fixture.store.remove(`servers/i-${version}-${index}`);
  }
}

function configure(): void {
  const services = createServicesWithBackups(200, 60_000);
  fixture.store.put('op/config', createStoreConfiguration({ services }));
}

async function startNodes(count: number, endpoints: number): Promise<ReadonlyArray<FrontNode>> {
  const nodes: FrontNode[] = [];
  for (let index = 0; index < count; index++) nodes.push(await fixture.addReadyNode(endpoints));
  await fixture.waitForMembers();
  return nodes;
}

async function restartNodes(endpoints: number): Promise<ReadonlyArray<FrontNode>> {
  const stopped = fixture.nodes.splice(0);
  await Promise.all(stopped.map(async ({ kernel }) => kernel.dispose()));
  return startNodes(2, endpoints);
}

/** Starts streams, and waits until each has some events. */
async function startStreams(
  nodes: ReadonlyArray<FrontNode>,
  target: string,
  count = STREAMS,
): Promise<ReadonlyArray<EventReader>> {
  const readers = Array.from({ length: count }, (_, index) => {
    const reader = new EventReader(target, GENERATION_HEADERS);
    void reader.read(nodes[index % nodes.length]!);
    return reader;
  });
  await Promise.all(readers.map(async (reader) => reader.waitForEvents(2)));
  return readers;
}

async function takeUp(
  readers: ReadonlyArray<EventReader>,
  nodes: ReadonlyArray<FrontNode>,
  headers: Readonly<Record<string, string>> = {},
): Promise<ReadonlyArray<EventReader>> {
  const again = readers.map(
    (reader) => new EventReader('/label/a', { ...GENERATION_HEADERS, ...headers }, reader),
  );
  await Promise.all(again.map(async (reader, index) => reader.read(nodes[index % nodes.length]!)));
  return again;
}

async function leave(readers: ReadonlyArray<EventReader>): Promise<void> {
  readers.forEach((reader) => reader.leave());
  await waitUntil('the callers to leave', () => readers.every(({ isEnded }) => isEnded));
}

const countMixed = (readers: ReadonlyArray<EventReader>): number =>
  readers.filter(({ versions }) => versions.size > 1).length;

const countWhole = (readers: ReadonlyArray<EventReader>): number =>
  readers.filter(({ isComplete, eventIds }) => isComplete && eventIds.at(-1) === EVENTS).length;

/** What ends a run at its engine. */
const DISTURBANCES: ReadonlyArray<readonly [string, (engine: PlatformEngine) => Promise<void>]> = [
  ['crashes', async (engine) => engine.stop()],
  ['resets its streams', async (engine) => engine.crash()],
  ['falls silent', async (engine) => engine.goSilent()],
  [
    'leaves',
    async (engine) =>
      fixture.store.put(
        'servers/i-v1-0',
        engine.createEntry('writers', { slots: SLOTS, state: 'draining' }),
      ),
  ],
];

const PATHS = DISTURBANCES.flatMap(([name, disturb]) =>
  ['/report/a', '/label/a'].map((target) => [name, target, disturb] as const),
);

// Guards against a run that is moved, or goes on from a copy or anew, at an engine of another software
// version: its answer would be joined from two texts.
test.each(PATHS)('no answer is joined when an engine %s: %s', async (_name, target, disturb) => {
  configure();
  const [engine] = await addEngines('v1');
  await addEngines('v2');
  const nodes = await startNodes(2, 2 * ENGINES);
  const readers = await startStreams(nodes, target);
  await disturb(engine!);
  await waitUntil('the ends of the streams', () => readers.every(({ isEnded }) => isEnded));
  expect(countMixed(readers)).toBe(0);
  expect(countWhole(readers)).toBeGreaterThan(STREAMS / 2);
});

// Guards against a stream that a caller takes up again at an engine of another software version.
test('a stream goes on at its version at any node', async () => {
  configure();
  await addEngines('v1');
  await addEngines('v2');
  const nodes = await startNodes(4, 2 * ENGINES);
  const readers = await startStreams(nodes, '/label/a');
  await leave(readers);
  const again = await takeUp(readers, [...nodes.slice(1), nodes[0]!]);
  expect(countMixed(again)).toBe(0);
  expect(countWhole(again)).toBe(STREAMS);
});

// Guards against knowledge of where a stream began that is lost with the node that began it.
test('a stream goes on at its version when its node is gone', async () => {
  configure();
  await addEngines('v1');
  await addEngines('v2');
  const nodes = await startNodes(4, 2 * ENGINES);
  const readers = await startStreams(nodes.slice(0, 1), '/label/a');
  await leave(readers);
  await nodes[0]!.kernel.dispose();
  fixture.nodes.shift();
  const again = await takeUp(readers, nodes.slice(1));
  expect(countMixed(again)).toBe(0);
  expect(countWhole(again)).toBe(STREAMS);
});

// Guards against a third attempt that names the first one, which another node began.
test('a stream goes on at its version a second time', async () => {
  configure();
  await addEngines('v1');
  await addEngines('v2');
  const nodes = await startNodes(3, 2 * ENGINES);
  const readers = await startStreams(nodes, '/label/a', 4);
  await leave(readers);
  const last = (reader: EventReader): string => String(reader.eventIds.at(-1));
  for (const reader of readers) {
    const first = new EventReader('/label/a', GENERATION_HEADERS, reader);
    const reading = first.read(nodes[1]!);
    await first.waitForEvents(2);
    first.leave();
    await reading;
    const headers = { ...GENERATION_HEADERS, 'last-event-id': last(first) };
    const second = new EventReader('/label/a', headers, reader);
    await second.read(nodes[2]!);
    expect(new Set([...first.versions, ...second.versions]).size).toBe(1);
    expect(countWhole([second])).toBe(1);
  }
});

function expectRefused(readers: ReadonlyArray<EventReader>, kind: string): void {
  expect(readers.map(({ status }) => status)).toEqual(readers.map(() => 503));
  readers.forEach(({ text }) => {
    expect(JSON.parse(text)).toMatchObject({ error: { kind, run: 'not-run' } });
  });
}

// Guards against a guess when every node that knew where a stream began is gone.
test('streams of unknown versions are refused after all nodes restart', async () => {
  configure();
  await addEngines('v1');
  await addEngines('v2');
  const readers = await startStreams(await startNodes(2, 2 * ENGINES), '/label/a');
  await leave(readers);
  const again = await takeUp(readers, await restartNodes(2 * ENGINES));
  expectRefused(again, 'stream-origin-unknown');
});

// Guards against taking the only version that is left for the one at which the stream began.
test('streams are refused after all nodes restart and the old version has left', async () => {
  configure();
  await addEngines('v1');
  const readers = await startStreams(await startNodes(2, ENGINES), '/label/a');
  await leave(readers);
  await addEngines('v2', { born: Date.now() });
  removeEntries('v1');
  const again = await takeUp(readers, await restartNodes(ENGINES));
  expectRefused(again, 'stream-origin-unknown');
});

/** Starts streams beside two versions, and ends them and all nodes after that. */
async function startBesideTwoVersions(): Promise<ReadonlyArray<EventReader>> {
  configure();
  await addEngines('v1');
  await addEngines('v2');
  const readers = await startStreams(await startNodes(2, 2 * ENGINES), '/label/a');
  await leave(readers);
  await Promise.all(fixture.nodes.splice(0).map(async ({ kernel }) => kernel.dispose()));
  return readers;
}

// Guards against taking the only version that is left for the one at which the stream began, where
// another one had long served beside it and no endpoint has started since.
test('streams are refused after all nodes restart and one of two versions has left', async () => {
  const readers = await startBesideTwoVersions();
  removeEntries('v1');
  const again = await takeUp(readers, await startNodes(2, ENGINES));
  expectRefused(again, 'stream-origin-unknown');
});

// Guards against taking an endpoint that has left for one of the version that is left, when the source
// has kept only its removal.
test('streams are refused after all nodes restart and unknown endpoints have left', async () => {
  const readers = await startBesideTwoVersions();
  fixture.store.compact();
  removeEntries('v1');
  const again = await takeUp(readers, await startNodes(2, ENGINES));
  expectRefused(again, 'stream-origin-unknown');
});

// Guards against taking the only version that is left for the one at which the stream began while
// the source doesn't tell which ones have left.
test('streams are refused after all nodes restart and the source has gone', async () => {
  const readers = await startBesideTwoVersions();
  removeEntries('v1');
  const nodes = await startNodes(2, ENGINES);
  fixture.store.behaviour = 'unavailable';
  expectRefused(await takeUp(readers, nodes), 'stream-origin-unknown');
});

// Guards against refusing streams for as long as a version that left before them is remembered.
test('streams go on after all nodes restart and a version has left long before', async () => {
  configure();
  await addEngines('v1');
  await addEngines('v2');
  removeEntries('v1');
  fixture.store.compact();
  const readers = await startStreams(await startNodes(2, ENGINES), '/label/a');
  await leave(readers);
  const again = await takeUp(readers, await restartNodes(ENGINES));
  expect(countWhole(again)).toBe(STREAMS);
});

// Guards against refusing streams where only one version has been in service all the time.
test('streams go on after all nodes restart beside one version', async () => {
  configure();
  await addEngines('v1');
  const readers = await startStreams(await startNodes(2, ENGINES), '/label/a');
  await leave(readers);
  const again = await takeUp(readers, await restartNodes(ENGINES));
  expect(countWhole(again)).toBe(STREAMS);
});

// Guards against a new node that takes the only version it has seen for the only one that has served.
test('a new node asks the others for versions that have left', async () => {
  configure();
  await addEngines('v1');
  await addEngines('v2');
  await startNodes(1, 2 * ENGINES);
  removeEntries('v1');
  const node = await fixture.addReadyNode(ENGINES);
  await fixture.waitForMembers();
  const [reader] = await startStreams([node], '/label/a', 1);
  await leave([reader!]);
  const unknown = new EventReader('/label/a', GENERATION_HEADERS);
  unknown.text = 'id: 1\n';
  expectRefused(await takeUp([unknown], [node]), 'stream-origin-unknown');
});

// Guards against a stream that goes on at another version because its own is no longer in service.
test('a stream is refused at once when its version has left', async () => {
  configure();
  await addEngines('v1');
  const nodes = await startNodes(2, ENGINES);
  const readers = await startStreams(nodes, '/label/a', 4);
  await leave(readers);
  await addEngines('v2');
  removeEntries('v1');
  await waitUntil('the new engines alone', () =>
    nodes.every(({ kernel }) => {
      const inService = kernel.get(Deployment).listAssignable('writers');
      return (
        inService.length === ENGINES &&
        inService.every(({ softwareVersion }) => softwareVersion === 'v2')
      );
    }),
  );
  expectRefused(await takeUp(readers, nodes), 'no-endpoint');
});

// Guards against callers that don't say which attempt began the stream.
test('a stream without its first attempt is refused beside two versions', async () => {
  configure();
  await addEngines('v1');
  await addEngines('v2');
  const nodes = await startNodes(2, 2 * ENGINES);
  const again = new EventReader('/label/a', { ...GENERATION_HEADERS, 'last-event-id': '2' });
  await again.read(nodes[0]!);
  expectRefused([again], 'stream-origin-unknown');
});
