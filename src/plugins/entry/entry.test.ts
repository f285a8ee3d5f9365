import { startNodes, waitUntil, type TestNode } from '../../../tests/TestNode';
import { createIncarnation, hashApiKey, type VmId } from '../../core';
import { Plugin } from '../../kernel';
import { ContractStore, Fleet, PublishedState } from '../../services';
import { HttpPlugin } from '../http';
import { PublishedContracts } from '../published/PublishedContracts';
import { EntryPlugin } from '.';

class ContractsPlugin extends Plugin {
  static override readonly type = 'test-contracts';

  override setUp(): void {
    const published = this.kernel.get(PublishedState);
    this.kernel.provide(ContractStore, new PublishedContracts(published, this.kernel.log));
  }
}

const CONTRACT = {
  customer: 'cafe',
  keyHashes: [hashApiKey('key-1')],
  homeRegion: 'seq',
  limits: { concurrentGenerations: 1, requestsPerSecond: 1 },
  kindsOfWork: [
    { name: 'lookup', type: 'call', service: 's', repeatable: true, rank: 1, answerWithinMs: 1000 },
  ],
};

const LOCATIONS = [
  { vmId: 'entry-1', dataCentre: 'brisbane', region: 'seq' },
  { vmId: 'entry-2', dataCentre: 'gold-coast', region: 'seq' },
  { vmId: 'entry-3', dataCentre: 'cairns', region: 'fnq' },
  { vmId: 'entry-4', dataCentre: 'cairns', region: 'fnq' },
  { vmId: 'entry-5', dataCentre: 'brisbane', region: 'seq' },
];

let node: TestNode;

/** entry-4 has reported no state and entry-5 is leaving. */
beforeEach(async () => {
  const plugins = [ContractsPlugin, EntryPlugin, HttpPlugin];
  [node] = (await startNodes([{ vmId: 'entry-1', plugins }])) as [TestNode];
  node.mergeVms(
    LOCATIONS.map((location) => ({
      ...node.vm,
      ...location,
      vmId: location.vmId as VmId,
      url: `http://10.0.0.${location.vmId.slice(-1)}`,
      state: location.vmId === 'entry-5' ? 'leaving' : 'live',
    })),
    2,
  );
  node.get(PublishedState).merge([
    { key: 'contracts/cafe', revision: 1, body: JSON.stringify(CONTRACT) },
    { key: 'contracts/bad', revision: 2, body: '{}' },
  ]);
  node.get(Fleet).mergeNodeStates(
    ['entry-2', 'entry-3', 'entry-5'].map((vmId) => ({
      vmId: vmId as VmId,
      incarnation: createIncarnation(),
      state: 'serving',
      ageMs: 0,
    })),
  );
});

afterEach(async () => {
  await node.dispose();
});

async function get(address: 'callerAddress' | 'operatorAddress', path: string): Promise<Response> {
  await waitUntil(() => node.hasLogged('listening'));
  const at = String(node.logLines.find(({ event }) => event === 'listening')?.[address]);
  return fetch(`http://${at}${path}`, { headers: { authorization: 'Bearer key-1' } });
}

async function listUrls(query: string): Promise<ReadonlyArray<string>> {
  const response = await get('callerAddress', `/v1/entry${query}`);
  const { addresses } = (await response.json()) as { addresses: Array<{ url: string }> };
  return addresses.map(({ url }) => url.replace('http://10.0.0.', ''));
}

// Guards against sending callers to nodes that don't serve, or over the slow link between regions.
test.each([
  ['', ['1', '2', '3']],
  ['?dataCentre=gold-coast', ['2', '1', '3']],
  ['?dataCentre=cairns', ['3', '1', '2']],
  ['?dataCentre=nowhere', ['1', '2', '3']],
])('entry%s', async (query, expected) => {
  const urls = await listUrls(query);
  expect(urls.slice(0, 1)).toEqual(expected.slice(0, 1));
  expect([...urls].sort()).toEqual([...expected].sort());
});

// Guards against a draining node that still lists itself.
test('a draining node lists only the others', async () => {
  await node.drain();
  await expect(listUrls('')).resolves.toEqual(['2', '3']);
});

test('cache-control matches the keepForMs of the response', async () => {
  const response = await get('callerAddress', '/v1/entry');
  const { keepForMs } = (await response.json()) as { keepForMs: number };
  expect(response.headers.get('cache-control')).toBe(`private, max-age=${keepForMs / 1_000}`);
});

test('status', async () => {
  node.mergeVms([{ ...node.vm, vmId: 'engine-1' as VmId, role: 'engine' }], 3);
  const status = (await (await get('operatorAddress', '/v1/status')).json()) as object;
  expect(status).toMatchObject({
    self: { vmId: 'entry-1', state: 'serving' },
    endpoints: [{ endpointId: 'engine-1', assignable: false, reportAgeMs: null }],
    published: [
      { source: 'configuration', records: 2, newestRevision: 2, confirmedAgeMs: null },
      { source: 'vm-list', records: 6, newestRevision: 3 },
    ],
    contracts: { inForce: 1, rejected: [{ customer: 'bad', revision: 2 }] },
  });
});
