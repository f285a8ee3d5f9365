import type { ServingBounds, VmId } from '../src/core';
import { TestKernel } from '../src/kernel/TestKernel';
import { StoreSource } from '../src/platform/StoreSource';
import { DeploymentStore } from '../src/plugins/deployment/DeploymentStore';
import { RelayTask } from '../src/plugins/deployment/RelayTask';
import { DeploymentSource, Members, Peers } from '../src/services';
import { createStoreConfiguration } from './FrontFixture';
import { waitUntil } from './waitUntil';

const READER = 'front-2' as VmId;
const POSITION = 20;

type Fields = Readonly<Record<string, unknown>>;

const at = (revision: unknown): Fields => ({ era: 0, revision });

function createRelayed(id: string, revision: number, changes: Fields = {}): Fields {
  const entry = { service: 'desk', address: '127.0.0.1:80', zone: 'z', slots: 4, state: 'ready' };
  const text = JSON.stringify({ ...entry, ...changes });
  const position = at(revision);
  const value = { key: `servers/${id}`, text, position };
  return { endpointId: id, startedAtWallMs: 0, position, value };
}

const CONFIGURATION = {
  key: 'op/config',
  text: JSON.stringify(createStoreConfiguration()),
  position: at(2),
};

function createReply(endpoints: ReadonlyArray<unknown>, changes: Fields = {}): Fields {
  return {
    confirmedAgeMs: 0,
    configurationAgeMs: 0,
    newestEra: 0,
    completeTo: at(POSITION),
    eraStart: at(1),
    configuration: CONFIGURATION,
    endpoints,
    ...changes,
  };
}

interface Follower {
  readonly store: DeploymentStore;
  readonly kernel: TestKernel;
}

/** Runs a follower until its reader has given all the replies; later calls never settle. */
async function follow(replies: ReadonlyArray<unknown>): Promise<Follower> {
  const kernel = new TestKernel([]);
  const bounds = { revocationWithinMs: 5_000 } as ServingBounds;
  const store = new DeploymentStore(kernel, bounds, new Map());
  const end = new AbortController();
  let calls = 0;
  kernel.provide(DeploymentSource, new StoreSource('http://127.0.0.1:9'));
  kernel.provide(Members, { listReaders: () => [READER] } as unknown as Members);
  kernel.provide(Peers, {
    call: async () => {
      calls += 1;
      return calls > replies.length ? new Promise(() => {}) : replies[calls - 1];
    },
  } as unknown as Peers);
  void new RelayTask(kernel, store).run(end.signal);
  await waitUntil('all replies', () => {
    kernel.manualClock.advance(500);
    return calls > replies.length;
  });
  end.abort();
  return { kernel, store };
}

function listIds({ store }: Follower): ReadonlyArray<string> {
  return store.listAssignable('desk').map(({ endpointId }) => endpointId);
}

function countLines({ kernel }: Follower): number {
  return kernel.logLines.filter(({ event }) => event === 'published value ignored').length;
}

const good = [createRelayed('i-1', 10), createRelayed('i-3', 12)] as const;

const ODD_ENDPOINTS: ReadonlyArray<readonly [string, unknown]> = [
  ['a number', 7],
  ['null', null],
  ['an odd id', createRelayed('i\n2', 11)],
  ['an odd revision', { ...createRelayed('i-2', 11), position: at('x') }],
  ['a huge revision', { ...createRelayed('i-2', 11), position: at(1e308) }],
  ['a value of another type', { ...createRelayed('i-2', 11), value: 7 }],
  ['an odd text', { ...createRelayed('i-2', 11), value: { key: 'servers/i-2', text: 7 } }],
  ['a port out of range', createRelayed('i-2', 11, { address: '127.0.0.1:70000' })],
  ['the value of another endpoint', { ...createRelayed('i-4', 11), endpointId: 'i-2' }],
];

// Guards against one odd endpoint in a reply by which a node loses the whole reply, and so follows its
// reader no more.
test.each(ODD_ENDPOINTS)('follows past %s', async (_name, odd) => {
  const reply = createReply([good[0], odd, good[1]]);
  const follower = await follow([reply, reply, reply]);
  expect(listIds(follower)).toEqual(['i-1', 'i-3']);
  expect(follower.store.configuration?.version).toBe(5);
  expect(follower.store.getConfirmedAgeMs()).toBeLessThan(5_000);
  expect(countLines(follower)).toBe(1);
});

// Guards against the departure of a known endpoint for a reply that lists it but can't be read.
test('an odd item keeps the known endpoint', async () => {
  const odd = { ...createRelayed('i-1', 13), position: at('x') };
  const follower = await follow([createReply(good), createReply([odd, good[1]])]);
  expect(listIds(follower)).toEqual(['i-1', 'i-3']);
});

// Guards against a position that this node takes for complete although it could not read all of the
// list.
test('an odd item leaves the position as it was', async () => {
  const { store } = await follow([createReply([7, ...good])]);
  expect(store.completeTo.revision).toBe(0);
});

const ODD_CONFIGURATIONS: ReadonlyArray<readonly [string, unknown]> = [
  ['of another type', 7],
  ['that is no JSON', { ...CONFIGURATION, text: 'odd', position: at(13) }],
  ['under another key', { ...CONFIGURATION, key: 'op/other' }],
];

// Guards against endpoints that are lost with an odd configuration, and against a confirmation of keys
// that this node could not read.
test.each(ODD_CONFIGURATIONS)('a configuration %s keeps the endpoints', async (_name, odd) => {
  const reply = createReply(good, { configuration: odd });
  const follower = await follow([reply, reply]);
  expect(listIds(follower)).toEqual(['i-1', 'i-3']);
  expect(follower.store.configuration).toBeUndefined();
  expect(follower.store.getConfirmedAgeMs()).toBe(Infinity);
  expect(countLines(follower)).toBe(1);
});

// Guards against a position beyond all later ones, after which every answer counts as stale.
test.each([1e308, Infinity, Number.NaN, -1, 1.5])(
  'no position of %s is taken',
  async (position) => {
    const { store } = await follow([createReply(good, { completeTo: at(position) })]);
    expect(store.completeTo.revision).toBe(0);
  },
);
