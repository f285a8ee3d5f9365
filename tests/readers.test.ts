import { Deployment, Members } from '../src/services';
import { createStoreConfiguration, FrontFixture, type FrontNode } from './FrontFixture';
import { waitUntil } from './waitUntil';

const NODES = 5;

let fixture: FrontFixture;

afterEach(async () => fixture.stop());

const isReader = ({ kernel }: FrontNode): boolean => kernel.get(Members).readsSource();

/** Starts a fleet in which some nodes follow readers instead of the source. */
async function startFleet(): Promise<ReadonlyArray<FrontNode>> {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-desk-1' });
  for (let index = 0; index < NODES; index++) await fixture.addReadyNode(1);
  await fixture.waitForMembers();
  await waitUntil('three readers', () => fixture.nodes.filter(isReader).length === 3);
  return fixture.nodes;
}

// Guards against nodes that miss changes because they don't read from the source themselves.
test('followers get changes through a reader', async () => {
  const nodes = await startFleet();
  fixture.store.put('op/config', createStoreConfiguration({ version: 6 }));
  await fixture.addEngine('desk', { instanceId: 'i-desk-2' });
  await waitUntil('the change at all nodes', () =>
    nodes.every(({ kernel }) => {
      const deployment = kernel.get(Deployment);
      return deployment.configuration?.version === 6 && deployment.listAll().length === 2;
    }),
  );
  fixture.store.remove('servers/i-desk-1');
  await waitUntil('the departure at all nodes', () =>
    nodes.every(({ kernel }) => kernel.get(Deployment).listAssignable('desk').length === 1),
  );
});

// Guards against followers whose knowledge grows old when all readers are lost at once.
test('followers take over from lost readers', async () => {
  const nodes = await startFleet();
  const followers = nodes.filter((node) => !isReader(node));
  await Promise.all(nodes.filter(isReader).map(async ({ kernel }) => kernel.dispose()));
  let oldestMs = 0;
  const endMs = performance.now() + 6_000;
  await waitUntil('six seconds', () => {
    const ages = followers.map(({ kernel }) => kernel.get(Deployment).getConfirmedAgeMs());
    oldestMs = Math.max(oldestMs, ...ages);
    return performance.now() > endMs;
  });
  expect(oldestMs).toBeLessThan(4_000);
  expect(followers.every(isReader)).toBe(true);
});
