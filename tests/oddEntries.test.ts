import { setTimeout as sleep } from 'node:timers/promises';
import { StoreSource } from '../src/platform/StoreSource';
import { MetadataStore } from '../stand-ins/MetadataStore';
import { Deployment, type PublishedChange } from '../src/services';
import { callFront, createStoreConfiguration, FrontFixture } from './FrontFixture';
import { waitUntil } from './waitUntil';

const { signal } = new AbortController();

/** More levels than a recursive decoder's stack holds. */
const NESTING_LEVELS = 200_000;

const ENTRY = {
  service: 'desk',
  address: '127.0.0.1:8080',
  zone: 'brisbane',
  slots: 4,
  state: 'ready',
  coldRemainingMs: 0,
  born: 1,
};

const nested = '['.repeat(NESTING_LEVELS) + ']'.repeat(NESTING_LEVELS);

function encode(text: string | Uint8Array): string {
  return Buffer.from(text).toString('base64');
}

function entryText(changes: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({ ...ENTRY, ...changes });
}

function withNumber(field: string, literal: string): string {
  return entryText({ [field]: '@' }).replace('"@"', literal);
}

let store: MetadataStore | undefined;
let fixture: FrontFixture | undefined;

afterEach(async () => {
  await store?.stop();
  await fixture?.stop();
  store = undefined;
  fixture = undefined;
});

/** Puts an odd item between two good ones and reads all, in full and as a watch. */
async function readBetweenGood(
  item: Readonly<Record<string, unknown>>,
): Promise<ReadonlyArray<ReadonlyArray<PublishedChange>>> {
  store = await MetadataStore.start();
  store.put('servers/i-1', ENTRY);
  store.putItem(item);
  store.put('servers/i-3', ENTRY);
  const source = new StoreSource(store.url);
  const full = await source.readAll(signal);
  const watched = await source.readChanges({ era: 1, revision: 1 }, 0, signal);
  return [full.changes, watched?.changes ?? []];
}

function listEndpoints(changes: ReadonlyArray<PublishedChange>): ReadonlyArray<string> {
  return changes.flatMap((change) => (change.kind === 'endpoint' ? change.backEnd.endpointId : []));
}

const ODD_VALUES: ReadonlyArray<readonly [string, string | Uint8Array]> = [
  ['nested arrays', nested],
  ['a nested field', withNumber('slots', nested)],
  ['an unclosed nesting', '{"a":'.repeat(NESTING_LEVELS)],
  ['no JSON', 'odd'],
  ['nothing', ''],
  ['a list', '[]'],
  ['null', 'null'],
  ['port 0', entryText({ address: '127.0.0.1:0' })],
  ['a port above 65535', entryText({ address: '127.0.0.1:65536' })],
  ['an octet above 255', entryText({ address: '127.0.0.256:80' })],
  ['an octal octet', entryText({ address: '010.0.0.1:80' })],
  ['slots beyond a double', withNumber('slots', '1e400')],
  ['too many slots', withNumber('slots', '1e308')],
  ['negative slots', entryText({ slots: -1 })],
  ['almost no slots', withNumber('slots', '5e-324')],
  ['an endless warm-up', withNumber('coldRemainingMs', '1e308')],
  ['a start beyond a double', withNumber('born', '1e400')],
  ['a start beyond all dates', withNumber('born', '9007199254740991')],
  ['a fractional start', withNumber('born', '1.5')],
  ['a huge zone', entryText({ zone: 'z'.repeat(1_000_000) })],
  ['another state', entryText({ state: 'odd' })],
  ['bytes that are not UTF-8', Buffer.from(entryText({ zone: '\u00ff' }), 'latin1')],
];

// Guards against an entry of another writer that stops the reading of the list, or that is used as an
// engine.
test.each(ODD_VALUES)('reads on past %s', async (_name, value) => {
  const reads = await readBetweenGood({ key: 'servers/i-2', value: encode(value) });
  reads.forEach((changes) => {
    expect(listEndpoints(changes)).toEqual(['i-1', 'i-3']);
    const [odd, ...others] = changes.filter(({ kind }) => kind === 'unreadable');
    expect(others).toEqual([]);
    expect(odd).toMatchObject({ kind: 'unreadable', key: 'servers/i-2' });
    expect(JSON.stringify(odd).length).toBeLessThan(2_000);
  });
});

const ODD_ITEMS: ReadonlyArray<readonly [string, Readonly<Record<string, unknown>>]> = [
  ['a value of another type', { key: 'servers/i-2', value: 7 }],
  ['no value', { key: 'servers/i-2' }],
  ['a revision of another type', { value: encode(entryText({})), revision: 'x' }],
  ['a revision that is no integer', { value: encode(entryText({})), revision: 1e308 }],
  ['a key of another type', { key: 7, value: encode(entryText({})) }],
  ['a value that is not base64', { key: 'servers/i-2', value: `${encode(entryText({}))}!` }],
  ['an id with a line break', { key: 'servers/i\n2', value: encode(entryText({})) }],
  ['an id with a NUL', { key: 'servers/i\u00002', value: encode(entryText({})) }],
  ['an empty id', { key: 'servers/', value: encode(entryText({})) }],
  ['an id of a prototype', { key: 'servers/__proto__', value: encode(entryText({})) }],
  ['a lone surrogate', { key: 'servers/i-2\ud800', value: encode(entryText({})) }],
  ['a huge key', { key: `servers/${'k'.repeat(100_000)}`, value: encode(entryText({})) }],
];

// Guards against one odd item that makes the whole answer unreadable, so that the list is followed
// no more.
test.each(ODD_ITEMS)('reads on past an item with %s', async (_name, item) => {
  const reads = await readBetweenGood({ key: 'servers/i-2', ...item });
  reads.forEach((changes) => {
    expect(listEndpoints(changes)).toEqual(['i-1', 'i-3']);
    const odd = changes.filter(({ kind }) => kind === 'unreadable');
    expect(odd).toHaveLength(1);
    expect(JSON.stringify(odd).length).toBeLessThan(2_000);
  });
});

// Guards against a second line for an odd entry when it is removed.
test.each(['servers/', 'servers/__proto__', 'servers/i\n2'])(
  'a removal of %j says nothing',
  async (key) => {
    const reads = await readBetweenGood({ key, deleted: true });
    reads.forEach((changes) => expect(changes).toHaveLength(2));
  },
);

const CALLS = 40;

// Guards against requests that fail because an odd entry is used as an engine.
test.each(['127.0.0.1:70000', '127.0.0.1:0', '127.0.0.256:80'])(
  'calls no engine at %s',
  async (address) => {
    fixture = await FrontFixture.start();
    fixture.store.put('op/config', createStoreConfiguration());
    fixture.store.put('servers/i-0', { ...ENTRY, address });
    await fixture.addEngine('desk', { instanceId: 'i-1' });
    const node = await fixture.addReadyNode(1);
    const statuses = [];
    for (let call = 0; call < CALLS; call++) {
      statuses.push((await callFront(node, '/credit/a', { method: 'POST', body: '1' })).status);
    }
    expect(statuses).toEqual(Array.from({ length: CALLS }, () => 200));
  },
);

// Guards against requests to an engine whose entry another writer has overwritten: until the next full
// read the watch left the engine in use.
test('an entry that is overwritten in the watch gets no new work', async () => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  const engine = await fixture.addEngine('desk', { instanceId: 'i-1' });
  await fixture.addEngine('desk', { instanceId: 'i-2' });
  const { kernel } = await fixture.addReadyNode(2);
  const deployment = kernel.get(Deployment);
  const listIds = (): ReadonlyArray<string> =>
    deployment.listAssignable('desk').map(({ endpointId }) => endpointId);
  fixture.store.put('servers/i-1', engine.createEntry('desk', { address: '127.0.0.1:70000' }));
  await waitUntil('the departure', () => listIds().length === 1);
  expect(listIds()).toEqual(['i-2']);
  fixture.store.put('servers/i-1', engine.createEntry('desk'));
  await waitUntil('the return', () => listIds().length === 2);
});

const ROUTE = createStoreConfiguration().routes as ReadonlyArray<Readonly<Record<string, unknown>>>;
const LIMITS = createStoreConfiguration().limits as Readonly<Record<string, number>>;

function withRoute(changes: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
  return createStoreConfiguration({ routes: ROUTE.map((route) => ({ ...route, ...changes })) });
}

/** Longer than a timer holds. */
const LONG_MS = 2 ** 32;

const LARGE_CONFIGURATIONS = [
  ['time-out', withRoute({ timeoutMs: LONG_MS })],
  ['endless time-out', withRoute({ timeoutMs: 1e308 })],
  ['latency goal', withRoute({ latencyGoalMs: 1e308 })],
  ['weight', withRoute({ weightedServices: [{ service: 'desk', weight: 1e308 }] })],
  ['priority', withRoute({ priority: 1e308 })],
  ['number of attempts', withRoute({ maxAttempts: 1e308 })],
  [
    'limit',
    createStoreConfiguration({
      limits: { ...LIMITS, headerTimeoutMs: 1e308, idleTimeoutMs: 1e308, maxBodyBytes: 1e308 },
    }),
  ],
  ['unknown field', JSON.stringify(createStoreConfiguration()).replace('{', `{"odd":${nested},`)],
] as const;

// Guards against a valid configuration that is refused for a large number, and against a timer beyond
// its range, which fires at once and fails the request.
test.each(LARGE_CONFIGURATIONS)('serves under a large %s', async (_name, configuration) => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', configuration);
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  const node = await fixture.addReadyNode(1);
  const headers = { 'x-bramleyvane-deadline-ms': String(LONG_MS + 1) };
  const { status } = await callFront(node, '/lookup/a', { headers });
  expect(status).toBe(200);
});

// Guards against replies to other nodes that exceed the size of a frame because of fields that nobody
// reads.
test('an entry is relayed without unknown fields', async () => {
  const value = encode(entryText({ odd: 'x'.repeat(900_000) }));
  const [changes = []] = await readBetweenGood({ key: 'servers/i-2', value });
  expect(listEndpoints(changes)).toEqual(['i-1', 'i-2', 'i-3']);
  expect(JSON.stringify(changes).length).toBeLessThan(3_000);
});

const ODD_ANSWERS = [
  ['no JSON', 'odd'],
  ['another type', '[]'],
  ['no events', '{"items":7,"events":7,"storeRevision":9}'],
  ['a huge position', '{"items":[],"events":[],"storeRevision":1e308}'],
  ['a fractional position', '{"items":[],"events":[],"storeRevision":9.5}'],
  ['a nested position', `{"items":[],"events":[],"storeRevision":${nested}}`],
] as const;

// Guards against a node that stops following the store after an answer that can't be read, or takes
// its position for one beyond all later ones.
test.each(ODD_ANSWERS)('follows the store after an answer with %s', async (_name, body) => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  const { kernel, lines } = await fixture.addReadyNode(1);
  fixture.store.oddBody = body;
  fixture.store.put('op/config', createStoreConfiguration({ version: 6 }));
  await waitUntil('the loss', () => lines.some(({ event }) => event === 'source lost'));
  fixture.store.oddBody = undefined;
  const deployment = kernel.get(Deployment);
  await waitUntil('the version', () => deployment.configuration?.version === 6);
  expect(deployment.listAssignable('desk')).toHaveLength(1);
});

/** Far more than the calls of a node that pauses between useless answers. */
const MAX_CALLS = 40;

// Guards against a watch that the store answers at once without a change: each such answer counted as
// proof for the time that was asked for, so that the age fell far below 0, and the next call followed
// without a pause.
test('an empty answer before the wait is over proves nothing ahead', async () => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  const { kernel } = await fixture.addReadyNode(1);
  const callsBefore = fixture.store.calls;
  fixture.store.oddBody = '{"items":[],"events":[],"storeRevision":3}';
  await sleep(1_000);
  const ageMs = kernel.get(Deployment).getConfirmedAgeMs();
  const isPaced = fixture.store.calls - callsBefore < MAX_CALLS;
  expect({ isAhead: ageMs < 0, isPaced }).toEqual({ isAhead: false, isPaced: true });
});
