/**
 * Tests versions of the configuration of which nothing can be read.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Members } from '../src/services';
import { callFront, createStoreConfiguration, FrontFixture, type FrontNode } from './FrontFixture';
import { waitUntil } from './waitUntil';

const REVOCATION_WITHIN_MS = 3_000;

let fixture: FrontFixture;

afterEach(async () => fixture.stop());

async function callAll(nodes: ReadonlyArray<FrontNode>): Promise<ReadonlyArray<number>> {
  const answers = await Promise.all(nodes.map(async (node) => callFront(node, '/lookup/a')));
  return answers.map(({ status }) => status);
}

const areAll = (statuses: ReadonlyArray<number>, expected: number): boolean =>
  statuses.every((status) => status === expected);

// Guards against keys that are accepted for ever because the version that removes them can't be read,
// also at nodes that follow others, and against a fleet that stops at once because of such a version.
test.each([
  ['no JSON', 'odd'],
  ['no version', JSON.stringify({ ...createStoreConfiguration(), version: 'odd' })],
  ['no list of routes', JSON.stringify({ ...createStoreConfiguration(), routes: 7 })],
  ['no list of tenants', JSON.stringify({ ...createStoreConfiguration(), tenants: 'odd' })],
])('a version with %s ends the confirmation of the one before', async (_name, text) => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-desk' });
  for (let index = 0; index < 5; index++) {
    await fixture.addReadyNode(1, { revocationWithinMs: REVOCATION_WITHIN_MS });
  }
  await fixture.waitForMembers();
  const { nodes } = fixture;
  await waitUntil(
    'followers',
    () => nodes.filter(({ kernel }) => kernel.get(Members).readsSource()).length === 3,
  );
  const atMs = performance.now();
  fixture.store.put('op/config', text);
  await sleep(REVOCATION_WITHIN_MS / 4);
  expect(await callAll(nodes)).toEqual(nodes.map(() => 200));
  await sleep(REVOCATION_WITHIN_MS - (performance.now() - atMs));
  expect(await callAll(nodes)).toEqual(nodes.map(() => 503));
  fixture.store.put('op/config', createStoreConfiguration({ version: 7 }));
  await waitUntil('the next version', async () => areAll(await callAll(nodes), 200));
});
