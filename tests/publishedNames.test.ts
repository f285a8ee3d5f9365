/**
 * Tests names of customers, keys and endpoints that the platform publishes without a fixed alphabet.
 */
import { ServingMetrics } from '../src/services';
import { callFront, createStoreConfiguration, FrontFixture } from './FrontFixture';

let fixture: FrontFixture;

beforeEach(async () => {
  fixture = await FrontFixture.start();
});

afterEach(async () => fixture.stop());

const NAMES = [
  ['an underscore', 'cafe_gympie'],
  ['spaces and dots', 'Cafe No. 7, Gympie'],
  ['capitals', 'CAFE-Gympie'],
  ['letters beyond ASCII', 'Café Ćevap 喫茶'],
  ['200 characters', 'x'.repeat(200)],
  ['quotes and separators', 'a"b\\c/d~e{f="g"}'],
] as const;

/** Header values arrive byte by byte. */
const decode = (value = ''): string => Buffer.from(value, 'latin1').toString('utf8');

/** As the text format of metrics writes a label. */
const escapeLabel = (text: string): string => text.replace(/[\\"]/g, '\\$&');

// Guards against a configuration that is ignored, with the keys that it removes, for the name of one
// customer.
test.each(NAMES)('serves a customer whose name has %s', async (_case, name) => {
  const tenants = [{ name, apiKeys: ['key-1'] }];
  fixture.store.put('op/config', createStoreConfiguration({ tenants }));
  const desk = await fixture.addEngine('desk', { instanceId: 'i-desk' });
  const node = await fixture.addReadyNode(1);
  expect((await callFront(node, '/lookup/a')).status).toBe(200);
  expect(decode(desk.receivedRequests[0]?.headers['x-bramleyvane-tenant'])).toBe(name);
  const line = node.lines.find(({ event }) => event === 'request');
  expect(line?.customer).toBe(name);
  const { text } = await node.kernel.get(ServingMetrics).render();
  expect(text).toContain(`customer="${escapeLabel(name)}"`);
});

// Guards against an engine that gets no work for its id.
test.each(NAMES)('uses an endpoint whose id has %s', async (_case, instanceId) => {
  fixture.store.put('op/config', createStoreConfiguration());
  const desk = await fixture.addEngine('desk', { instanceId });
  const node = await fixture.addReadyNode(1);
  expect((await callFront(node, '/lookup/a')).status).toBe(200);
  expect(desk.executedRequestIds).toHaveLength(1);
});

// Guards against a key that is refused as unknown for its characters.
test.each([
  ['a space', 'key 1'],
  ['punctuation', 'k:e/y=+,1'],
  ['letters beyond ASCII', 'clé-喫'],
])('takes a key with %s', async (_case, key) => {
  const tenants = [{ name: 'cafe-1', apiKeys: [key] }];
  fixture.store.put('op/config', createStoreConfiguration({ tenants }));
  await fixture.addEngine('desk', { instanceId: 'i-desk' });
  const node = await fixture.addReadyNode(1);
  const authorization = `Token ${Buffer.from(key).toString('latin1')}`;
  expect((await callFront(node, '/lookup/a', { headers: { authorization } })).status).toBe(200);
});

// Guards against a request that is refused as malformed for its id.
test.each([
  ['a space', 'request 7'],
  ['300 characters', 'r'.repeat(300)],
  ['letters beyond ASCII', Buffer.from('demande-é').toString('latin1')],
])('serves a request whose id has %s', async (_case, requestId) => {
  fixture.store.put('op/config', createStoreConfiguration());
  const desk = await fixture.addEngine('desk', { instanceId: 'i-desk' });
  const node = await fixture.addReadyNode(1);
  const headers = { 'x-bramleyvane-request-id': requestId };
  expect((await callFront(node, '/lookup/a', { headers })).status).toBe(200);
  expect(desk.executedRequestIds).toEqual([requestId]);
  const refused = await callFront(node, '/nothing/', { headers });
  expect(refused.status).toBe(404);
  expect(refused.headers['x-bramleyvane-request-id']).toBe(requestId);
});
