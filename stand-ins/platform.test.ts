import type { PublishedRecord, Vm, VmId } from '../src/core';
import { waitUntil } from '../tests/waitUntil';
import { ConfigurationService, VmList, WeightStore, type StandIn } from '.';

const running: StandIn[] = [];

afterEach(async () => {
  await Promise.all(running.splice(0).map(async (standIn) => standIn.stop()));
});

async function stopAfterTest<T extends StandIn>(starting: Promise<T>): Promise<T> {
  const standIn = await starting;
  running.push(standIn);
  return standIn;
}

async function getJson<T>(standIn: StandIn, path: string): Promise<T> {
  return (await fetch(`${standIn.url}${path}`)).json() as Promise<T>;
}

async function getStatus(standIn: StandIn, path: string): Promise<number> {
  return (await fetch(`${standIn.url}${path}`)).status;
}

interface Page {
  readonly revision: number;
  readonly records: ReadonlyArray<PublishedRecord>;
  readonly more: boolean;
}

const entry: Vm = {
  vmId: 'entry-1' as VmId,
  role: 'entry',
  url: 'http://127.0.0.1:1',
  dataCentre: 'brisbane',
  region: 'seq',
  state: 'live',
};

// Guards against records that are missing at a page boundary.
test('pages records by revision', async () => {
  const service = await stopAfterTest(ConfigurationService.start());
  ['a', 'b', 'c'].forEach((name) => service.put(`contracts/${name}`, '{}'));
  service.put('other/x', '{}');
  const first = await getJson<Page>(service, '/v1/records?prefix=contracts/&after=0&limit=2');
  expect(first).toMatchObject({ revision: 2, more: true });
  const second = await getJson<Page>(service, '/v1/records?prefix=contracts/&after=2&limit=2');
  expect(second).toMatchObject({ revision: 4, more: false });
  expect(second.records.map(({ key }) => key)).toEqual(['contracts/c']);
});

// Guards against a deletion that readers never see.
test('publishes a deletion as a tombstone', async () => {
  const service = await stopAfterTest(ConfigurationService.start());
  service.put('contracts/a', '{}');
  await fetch(`${service.url}/control/records/contracts/a`, { method: 'DELETE' });
  const { records } = await getJson<Page>(service, '/v1/records?prefix=contracts/&after=1');
  expect(records).toEqual([{ key: 'contracts/a', revision: 2, body: null }]);
});

// Guards against a watch that misses a change.
test('ends a watch on a change', async () => {
  const service = await stopAfterTest(ConfigurationService.start());
  const watch = getJson<Page>(service, '/v1/watch?prefix=contracts/&after=0&waitMs=60000');
  await waitUntil('the watch to wait', () => service.calls.waitingWatches > 0);
  service.put('other/x', '{}');
  service.put('contracts/a', '{}');
  expect((await watch).records).toHaveLength(1);
});

// Guards against tests that only ever see the newest state.
test('serves an older revision when stale', async () => {
  const service = await stopAfterTest(ConfigurationService.start());
  service.put('contracts/a', '1');
  service.put('contracts/a', '2');
  service.setStale(1);
  const stale = await getJson<Page>(service, '/v1/records?prefix=contracts/&after=0');
  expect(stale).toMatchObject({ revision: 1, records: [{ body: '1' }] });
  service.setStale(undefined);
  const fresh = await getJson<Page>(service, '/v1/records?prefix=contracts/&after=0');
  expect(fresh).toMatchObject({ revision: 2, records: [{ body: '2' }] });
});

// Guards against readers that exceed the rate limit of the real service without being noticed.
test('limits and counts calls', async () => {
  const service = await stopAfterTest(ConfigurationService.start({ callsPerSecond: 0.001 }));
  expect(await getStatus(service, '/v1/records')).toBe(429);
  expect(service.calls).toMatchObject({ reads: 0, limited: 1 });
});

test('returns 503 when the configuration service is down', async () => {
  const service = await stopAfterTest(ConfigurationService.start());
  service.setDown(true);
  expect(await getStatus(service, '/v1/records')).toBe(503);
  service.setDown(false);
  expect(await getStatus(service, '/v1/records')).toBe(200);
});

// Guards against a list without the delay of the real one.
test('shows a VM after the lag', async () => {
  const list = await stopAfterTest(VmList.start({ lagMs: 3_600_000 }));
  list.put(entry);
  expect(await getJson(list, '/v1/vms')).toEqual({ revision: 0, vms: [] });
  const watch = getJson(list, '/v1/vms/watch?after=0&waitMs=60000');
  list.setLag(0);
  expect(await watch).toEqual({ revision: 1, vms: [entry] });
});

test('returns 503 when the VM list is down', async () => {
  const list = await stopAfterTest(VmList.start());
  list.setDown(true);
  expect(await getStatus(list, '/v1/vms')).toBe(503);
});

// Guards against downloads that are each limited to the rate, instead of all together.
test('shares the rate among downloads', async () => {
  const store = await stopAfterTest(
    WeightStore.start({ modelBytes: 40_000, bytesPerSecond: 400_000, chunkBytes: 10_000 }),
  );
  const startedAtMs = performance.now();
  const bodies = await Promise.all(
    ['m1', 'm2', 'm3'].map(async (model) =>
      (await fetch(`${store.url}/v1/weights/${model}`)).arrayBuffer(),
    ),
  );
  expect(bodies.map(({ byteLength }) => byteLength)).toEqual([40_000, 40_000, 40_000]);
  // 120,000 bytes less the burst of 10,000, at 400,000 bytes per second, take 275 ms. A lower bound
  // doesn't fail on a slow machine.
  expect(performance.now() - startedAtMs).toBeGreaterThan(250);
  expect(store.transfers).toMatchObject({ started: 3, running: 0, sentBytes: 120_000 });
});
