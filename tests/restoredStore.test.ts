/**
 * Tests the nodes after the platform's store came back from an older copy.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment, Members } from '../src/services';
import { createStoreConfiguration, FrontFixture, type FrontNode } from './FrontFixture';
import { waitUntil } from './waitUntil';

const NODES = 5;

/** Time within which a version has to be in force on a small fleet. */
const IN_FORCE_WITHIN_MS = 2_500;

let fixture: FrontFixture;

afterEach(async () => fixture.stop());

const getVersion = ({ kernel }: FrontNode): number | undefined =>
  kernel.get(Deployment).configuration?.version;

const listAssignable = ({ kernel }: FrontNode): ReadonlyArray<string> =>
  kernel
    .get(Deployment)
    .listAssignable('desk')
    .map(({ endpointId }) => endpointId)
    .sort();

/** Starts a fleet in which some nodes follow readers, with two engines. */
async function startFleet(): Promise<ReadonlyArray<FrontNode>> {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-desk-1' });
  await fixture.addEngine('desk', { instanceId: 'i-desk-2' });
  for (let index = 0; index < NODES; index++) await fixture.addReadyNode(2);
  await fixture.waitForMembers();
  await waitUntil(
    'three readers',
    () => fixture.nodes.filter(({ kernel }) => kernel.get(Members).readsSource()).length === 3,
  );
  return fixture.nodes;
}

/** Publishes a version and waits until it is in force everywhere; returns the time that took. */
async function publishVersion(version: number): Promise<number> {
  const startMs = performance.now();
  fixture.store.put('op/config', createStoreConfiguration({ version }));
  await waitUntil(`version ${version}`, () =>
    fixture.nodes.every((node) => getVersion(node) === version),
  );
  return performance.now() - startMs;
}

// Guards against a version that is acknowledged after the store came back but is not in force,
// because its revision had been given out before.
test('a version published after the return is in force in time', async () => {
  await startFleet();
  const copy = fixture.store.createCopy();
  await publishVersion(6);
  await publishVersion(7);
  fixture.store.restore(copy);
  fixture.store.put('op/config', createStoreConfiguration({ version: 7 }));
  expect(await publishVersion(8)).toBeLessThan(IN_FORCE_WITHIN_MS);
});

// Guards against readers that call the store without a pause while its revision is lower than the
// one that they know.
test('the return from a copy costs few calls', async () => {
  await startFleet();
  const copy = fixture.store.createCopy();
  for (let version = 6; version < 12; version++) await publishVersion(version);
  fixture.store.restore(copy);
  const before = fixture.store.calls;
  await sleep(2_000);
  // Three readers, each with at most ten reads of two calls or more.
  expect(fixture.store.calls - before).toBeLessThan(60);
});

// Guards against requests with a key that are refused for good, because no answer of the restored
// store counts as a confirmation.
test('the return from a copy leaves the configuration confirmed', async () => {
  const nodes = await startFleet();
  const copy = fixture.store.createCopy();
  await publishVersion(6);
  await publishVersion(7);
  fixture.store.restore(copy);
  const endMs = performance.now() + 4_000;
  let oldestMs = 0;
  await waitUntil('four seconds', () => {
    const ages = nodes.map(({ kernel }) => kernel.get(Deployment).getConfirmedAgeMs());
    oldestMs = Math.max(oldestMs, ...ages);
    return performance.now() > endMs;
  });
  expect(oldestMs).toBeLessThan(2_800);
  expect(nodes.map(getVersion)).toEqual(nodes.map(() => 7));
});

// Guards against a new node that runs requests with a key that a lost version had removed.
test('a new node learns a version that the store has lost', async () => {
  await startFleet();
  const copy = fixture.store.createCopy();
  await publishVersion(7);
  fixture.store.restore(copy);
  const { lines } = await fixture.addReadyNode(2);
  const applied = lines.filter(({ event }) => event === 'configuration applied');
  expect(applied.map(({ version }) => version)).toEqual([7]);
});

// Guards against requests to an engine that has left, because an old copy lists it as ready, and
// against an engine that is missing for good after it has registered anew.
test('an engine that left stays out until it registers anew', async () => {
  const nodes = await startFleet();
  const [engine] = fixture.engines;
  const copy = fixture.store.createCopy();
  fixture.store.put('servers/i-desk-1', engine!.createEntry('desk', { state: 'draining' }));
  await publishVersion(6);
  await waitUntil('the departure', () => nodes.every((node) => listAssignable(node).length === 1));
  fixture.store.restore(copy);
  await publishVersion(7);
  const newNode = await fixture.addReadyNode(1);
  const endMs = performance.now() + 3_000;
  await waitUntil('three seconds', () => {
    expect(nodes.map((node) => listAssignable(node).join())).toEqual(nodes.map(() => 'i-desk-2'));
    return performance.now() > endMs;
  });
  expect(listAssignable(newNode)).toEqual(['i-desk-2']);
  fixture.store.put('servers/i-desk-1', engine!.createEntry('desk'));
  await waitUntil('the engine that registered anew', () =>
    fixture.nodes.every((node) => listAssignable(node).length === 2),
  );
});
