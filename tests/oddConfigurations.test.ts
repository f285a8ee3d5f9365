/**
 * Tests versions of the configuration of which single entries can't be read.
 */
import fc from 'fast-check';
import { decodeConfiguration } from '../src/platform/configurationValue';
import { Deployment, ServingMetrics } from '../src/services';
import { callFront, createStoreConfiguration, FrontFixture, type FrontNode } from './FrontFixture';
import { waitUntil } from './waitUntil';

type Fields = Readonly<Record<string, unknown>>;

const ROUTES = createStoreConfiguration().routes as ReadonlyArray<Fields>;
const SERVICES = createStoreConfiguration().services as ReadonlyArray<Fields>;

const TENANTS = [
  { name: 'cafe-1', apiKeys: ['key-1', 'key-2'] },
  { name: 'cafe-2', apiKeys: ['key-3'] },
];

const WITHOUT_KEY_2 = [{ name: 'cafe-1', apiKeys: ['key-1'] }, TENANTS[1]];

let fixture: FrontFixture | undefined;

afterEach(async () => {
  await fixture?.stop();
  fixture = undefined;
});

async function startNode(): Promise<FrontNode> {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration({ tenants: TENANTS }));
  await fixture.addEngine('desk', { instanceId: 'i-desk' });
  return fixture.addReadyNode(1);
}

async function publish(node: FrontNode, changes: Fields): Promise<void> {
  const version = 6;
  fixture?.store.put('op/config', createStoreConfiguration({ version, ...changes }));
  await waitUntil(
    'the version',
    () => node.kernel.get(Deployment).configuration?.version === version,
  );
}

async function callWithKey(node: FrontNode, key: string, target = '/lookup/a'): Promise<number> {
  const headers = { authorization: `Token ${key}` };
  return (await callFront(node, target, { headers })).status;
}

const ODD_PARTS = [
  ['tenants', { tenants: [...WITHOUT_KEY_2, { name: 7, apiKeys: ['key-4'] }] }],
  ['tenants', { tenants: [...WITHOUT_KEY_2, { name: 'a\r\nb', apiKeys: ['key-4'] }] }],
  ['tenants', { tenants: [...WITHOUT_KEY_2, { name: 'cafe-4', apiKeys: 'key-4' }] }],
  ['tenants', { tenants: [...WITHOUT_KEY_2, null] }],
  ['routes', { tenants: WITHOUT_KEY_2, routes: [...ROUTES, { host: 'odd' }] }],
  ['routes', { tenants: WITHOUT_KEY_2, routes: [...ROUTES, 'odd'] }],
  ['services', { tenants: WITHOUT_KEY_2, services: [...SERVICES, { name: 'odd' }] }],
  ['services', { tenants: WITHOUT_KEY_2, services: 'odd' }],
  ['limits', { tenants: WITHOUT_KEY_2, limits: { maxHeaderBytes: 'odd' } }],
] as const;

// Guards against one odd entry that keeps a version from being applied, so that a key that it removes
// goes on being accepted.
test.each(ODD_PARTS)('an odd entry of %s costs itself alone: %j', async (part, changes) => {
  const node = await startNode();
  expect(await callWithKey(node, 'key-2')).toBe(200);
  await publish(node, changes);
  expect(await callWithKey(node, 'key-2')).toBe(401);
  expect(await callWithKey(node, 'key-1')).toBe(200);
  expect(await callWithKey(node, 'key-3')).toBe(200);
  const lines = node.lines.filter(({ event }) => event === 'configuration entry ignored');
  expect(lines).toHaveLength(1);
  const { text } = await node.kernel.get(ServingMetrics).render();
  expect(text).toContain(`unreadable_configuration_entries_total{part="${part}"} 1`);
});

// Guards against requests that are told that their key is unknown, which callers don't repeat.
test('a key of a customer that is not readable is refused as not run', async () => {
  const node = await startNode();
  await publish(node, { tenants: [...TENANTS, { name: 7, apiKeys: [8, 'key-4'] }] });
  const response = await callFront(node, '/lookup/a', {
    headers: { authorization: 'Token key-4' },
  });
  expect(response.status).toBe(503);
  expect(response.headers['retry-after']).toBeDefined();
  expect(JSON.parse(response.text)).toMatchObject({ error: { run: 'not-run' } });
});

// Guards against requests of a route that can't be read that run by a shorter one, at a service to
// which no configuration sends them.
test('requests of a route that is not readable run nowhere else', async () => {
  const node = await startNode();
  const odd = { ...ROUTES[0], prefix: '/lookup/special/', kind: 'odd' };
  await publish(node, { tenants: TENANTS, routes: [...ROUTES, odd] });
  expect(await callWithKey(node, 'key-1', '/lookup/special/a')).toBe(503);
  expect(await callWithKey(node, 'key-1', '/lookup/a')).toBe(200);
});

const oddEntry = fc.oneof(
  fc
    .anything({ maxDepth: 2 })
    .map((value) => JSON.parse(JSON.stringify(value) ?? 'null') as unknown),
  fc.record({ name: fc.jsonValue(), apiKeys: fc.jsonValue(), host: fc.jsonValue() }),
);

// Guards against odd entries that cost those before and after them.
test('sound entries are read whatever stands between them', () => {
  const odd = fc.array(oddEntry, { maxLength: 4 });
  fc.assert(
    fc.property(odd, odd, odd, oddEntry, (routes, services, tenants, limits) => {
      const decoded = decodeConfiguration(
        JSON.stringify({
          version: 7,
          routes: [ROUTES[0], ...routes, ROUTES[1]],
          services: [SERVICES[0], ...services, SERVICES[1]],
          tenants: [TENANTS[0], ...tenants, TENANTS[1]],
          limits,
        }),
      );
      expect(decoded.routes.map(({ name }) => name)).toEqual(
        expect.arrayContaining(['lookup', 'credit']),
      );
      expect([...decoded.services.keys()]).toEqual(expect.arrayContaining(['desk', 'writers']));
      expect([...(decoded.keyHolders?.keys() ?? [])]).toEqual(
        expect.arrayContaining(['key-1', 'key-2', 'key-3']),
      );
    }),
    { numRuns: 300, seed: 20261205 },
  );
});
