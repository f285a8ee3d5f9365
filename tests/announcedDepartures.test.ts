/**
 * Tests endpoints whose answers say that they are leaving, while the source of the list is away.
 */
import { Deployment } from '../src/services';
import type { EngineBehaviour, PlatformEngine } from '../stand-ins/PlatformEngine';
import {
  callFront,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  type FrontNode,
} from './FrontFixture';
import { waitUntil } from './waitUntil';

const LEAVING = 'i-desk-1';

let fixture: FrontFixture;

beforeEach(async () => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
});

afterEach(async () => fixture.stop());

const listAssignable = ({ kernel }: FrontNode, service: string): ReadonlyArray<string> =>
  kernel
    .get(Deployment)
    .listAssignable(service)
    .map(({ endpointId }) => endpointId)
    .sort();

/** Makes calls until the engine has answered one. */
async function callUntilAnsweredBy(
  node: FrontNode,
  engine: PlatformEngine,
  target: string,
): Promise<void> {
  await waitUntil('an answer of the engine', async () => {
    await callFront(node, target, { headers: GENERATION_HEADERS });
    return engine.receivedRequests.length > 0;
  });
}

async function startDesks(behaviour: EngineBehaviour): Promise<PlatformEngine> {
  const leaving = await fixture.addEngine('desk', { instanceId: LEAVING });
  await fixture.addEngine('desk', { instanceId: 'i-desk-2' });
  leaving.behaviour = behaviour;
  return leaving;
}

// Guards against new work for an engine that says in its answers that it is leaving, for as long as
// the source that would list its departure is away. It exits under that work.
test.each([
  ['a whole answer', 'answer', '1'],
  ['an error', 'fail', '1'],
  ['a refusal', 'shed', '1'],
  ['several values', 'answer', '0, 1'],
] as const)('%s takes a leaving endpoint out', async (_name, behaviour, header) => {
  const leaving = await startDesks(behaviour);
  const node = await fixture.addReadyNode(2);
  fixture.store.behaviour = 'unavailable';
  leaving.leavingHeader = header;
  await callUntilAnsweredBy(node, leaving, '/lookup/a');
  await waitUntil('the departure', () => !listAssignable(node, 'desk').includes(LEAVING));
  const before = leaving.receivedRequests.length;
  for (let index = 0; index < 30; index++) await callFront(node, '/lookup/a');
  expect(leaving.receivedRequests).toHaveLength(before);
});

// Guards against an engine that is given up for what another one said at its former address, or for
// a header that says nothing.
test.each([
  ['another value', 'answer', '0'],
  ['an answer to another request', 'crossed', '1'],
] as const)('%s takes no endpoint out', async (_name, behaviour, header) => {
  const leaving = await startDesks(behaviour);
  const node = await fixture.addReadyNode(2);
  leaving.leavingHeader = header;
  await callUntilAnsweredBy(node, leaving, '/lookup/a');
  expect(listAssignable(node, 'desk')).toEqual([LEAVING, 'i-desk-2']);
});

// Guards against an engine that is given up because another one, which has its former address now,
// says that it leaves.
test('an answer of another endpoint takes none out', async () => {
  const other = await fixture.addEngine('desk', { instanceId: 'i-desk-3' });
  await fixture.addEngine('desk', { instanceId: 'i-desk-2' });
  fixture.store.put(`servers/${LEAVING}`, other.createEntry('desk'));
  fixture.store.remove('servers/i-desk-3');
  const node = await fixture.addReadyNode(2);
  await waitUntil('the removal', () => listAssignable(node, 'desk').length === 2);
  other.leavingHeader = '1';
  await callUntilAnsweredBy(node, other, '/lookup/a');
  expect(listAssignable(node, 'desk')).toContain(LEAVING);
});

// Guards against a stream that is cut because its engine says that it is leaving, and against new
// streams there.
test('the head of a stream takes a leaving engine out and the stream goes on', async () => {
  const options = { events: 100, eventIntervalMs: 5 };
  const leaving = await fixture.addEngine('writers', { instanceId: 'i-writer-1', ...options });
  const node = await fixture.addReadyNode(1);
  fixture.store.behaviour = 'unavailable';
  leaving.leavingHeader = '1';
  const response = await callFront(node, '/report/a', { headers: GENERATION_HEADERS });
  expect(response.status).toBe(200);
  expect(response.headers['server-leaving']).toBe('1');
  expect(response.text).toContain('id: 100\n');
  expect(listAssignable(node, 'writers')).toEqual([]);
});

// Guards against nodes that send work to a leaving engine until they have had an answer of it
// themselves.
test('other nodes learn of a departure that an answer announced', async () => {
  const leaving = await startDesks('answer');
  const [first, second] = [await fixture.addReadyNode(2), await fixture.addReadyNode(2)];
  await fixture.waitForMembers();
  fixture.store.behaviour = 'unavailable';
  leaving.leavingHeader = '1';
  await callUntilAnsweredBy(first, leaving, '/lookup/a');
  await waitUntil('the departure at the other node', () => {
    const known = listAssignable(second, 'desk');
    return known.length === 1 && known[0] === 'i-desk-2';
  });
});
