import { createServer, type Server } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { TestNode, waitUntil } from '../../../tests/TestNode';
import type { PublishedRecord, Vm } from '../../core';
import { ContractStore, PublishedState, ReadinessCheck } from '../../services';
import { GossipPlugin } from '../gossip';
import { PublishedPlugin } from '.';

const CONTRACT = JSON.stringify({
  customer: 'cafe',
  keyHashes: ['0'.repeat(64)],
  homeRegion: 'seq',
  limits: { concurrentGenerations: 1, requestsPerSecond: 1 },
  kindsOfWork: [
    { name: 'lookup', type: 'call', service: 's', repeatable: true, rank: 1, answerWithinMs: 1000 },
  ],
});

interface Published {
  records: ReadonlyArray<PublishedRecord>;
  revision: number;
  vms: ReadonlyArray<Vm>;
  vmRevision: number;
}

/** The platform as seen by one node. */
class FakePlatform {
  private isDown = false;

  private isConfigurationDown = false;

  /** Number of reads and watches of the VM list. */
  listRequests = 0;

  private readonly server: Server;

  constructor(readonly published: Published) {
    this.server = createServer((request, response) => {
      const url = new URL(request.url ?? '/', 'http://127.0.0.1');
      const isVmList = url.pathname.startsWith('/v1/vms');
      if (isVmList) this.listRequests += 1;
      if (this.isDown || (this.isConfigurationDown && !isVmList)) {
        response.writeHead(503).end();
        return;
      }
      const body = isVmList ? this.answerVms() : this.answerRecords(url);
      const waitMs = Math.min(100, Number(url.searchParams.get('waitMs')));
      setTimeout(() => response.end(JSON.stringify(body)), waitMs);
    });
  }

  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  goDown(): void {
    this.isDown = true;
  }

  stopConfiguration(): void {
    this.isConfigurationDown = true;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private answerVms(): object {
    return { revision: this.published.vmRevision, vms: this.published.vms };
  }

  private answerRecords(url: URL): object {
    const after = Number(url.searchParams.get('after'));
    const records = this.published.records.filter(({ revision }) => revision > after);
    return { revision: this.published.revision, records, more: false };
  }
}

let started: Array<{ readonly node: TestNode; readonly platform: FakePlatform }> = [];

afterEach(async () => {
  await Promise.all(started.map(async ({ node }) => node.dispose()));
  started.forEach(({ platform }) => platform.close());
  started = [];
});

async function startNode(
  vmId: string,
  published: Published,
  prepare: (platform: FakePlatform) => void = () => {},
): Promise<(typeof started)[number]> {
  const platform = new FakePlatform(published);
  prepare(platform);
  const url = await platform.listen();
  const node = new TestNode({
    vmId,
    published: PublishedPlugin,
    plugins: [GossipPlugin],
    settings: { configurationUrl: url, vmListUrl: url },
  });
  await node.start();
  started.push({ node, platform });
  return { node, platform };
}

const isReady = (node: TestNode): boolean =>
  node.getAll(ReadinessCheck).every((check) => check.getNotReadyReason() === undefined);

const createPublished = (): Published => ({
  records: [{ key: 'contracts/cafe', revision: 1, body: CONTRACT }],
  revision: 1,
  vms: [],
  vmRevision: 1,
});

// Guards against a new node that can't start, or lacks contracts, while their source is down.
test('a new node receives contracts and last valid bodies from a peer', async () => {
  const published = createPublished();
  const first = await startNode('entry-1', published);
  await waitUntil(() => isReady(first.node));
  published.records = [{ key: 'contracts/cafe', revision: 2, body: '{"customer":"cafe"}' }];
  published.revision = 2;
  await waitUntil(() => first.node.get(ContractStore).listRejected().length === 1);
  first.platform.stopConfiguration();
  const second = await startNode('entry-2', published, (platform) => platform.stopConfiguration());
  expect(isReady(second.node)).toBe(false);
  published.vms = [first.node.vm, second.node.vm];
  published.vmRevision = 2;
  await waitUntil(() => isReady(second.node));
  const contracts = second.node.get(ContractStore);
  expect(contracts.find('cafe' as never)?.revision).toBe(1);
  expect(contracts.listRejected()).toMatchObject([{ customer: 'cafe', revision: 2 }]);
});

// Guards against reverted contracts or VMs when the platform answers from a stale replica.
test('a stale answer reverts no record', async () => {
  const published = createPublished();
  const { node } = await startNode('entry-1', published);
  published.vms = [node.vm];
  published.vmRevision = 5;
  published.records = [{ key: 'contracts/cafe', revision: 5, body: null }];
  published.revision = 5;
  const state = node.get(PublishedState);
  await waitUntil(() => state.get('contracts/cafe')?.body === null);
  await waitUntil(() => state.get('vms/entry-1') !== undefined);
  published.records = [{ key: 'contracts/cafe', revision: 3, body: CONTRACT }];
  published.revision = 3;
  published.vms = [];
  published.vmRevision = 4;
  await waitUntil(() => node.hasLogged('stale answer ignored'));
  const staleFromMs = node.clock.nowMs();
  await waitUntil(() => state.getConfirmedAgeMs('vm-list') > 1_000);
  await waitUntil(() => state.getConfirmedAgeMs('configuration') > 1_000);
  expect(node.clock.nowMs()).toBeGreaterThan(staleFromMs);
  expect(state.get('contracts/cafe')).toMatchObject({ revision: 5, body: null });
  expect(state.get('vms/entry-1')?.body).not.toBeNull();
});

// Guards against a removed VM that stays listed because this node received it from a peer.
test('a removed VM received from a peer becomes a tombstone', async () => {
  const published = createPublished();
  published.vmRevision = 4;
  const { node } = await startNode('entry-1', published);
  node.mergeVms([{ ...node.vm, vmId: 'gone' as never }], 3);
  await waitUntil(() => node.get(PublishedState).get('vms/gone')?.body === null);
});

// Guards against skipping records that no peer sent: a pushed record of a high revision doesn't
// mean that the records of lower revisions have been received.
test('a read fetches records below a pushed revision', async () => {
  const published = createPublished();
  published.revision = 9;
  const { node } = await startNode('entry-1', published);
  node.get(PublishedState).merge([{ key: 'contracts/other', revision: 9, body: '{}' }]);
  await waitUntil(() => node.get(ContractStore).find('cafe' as never) !== undefined);
});

// Guards against all nodes reading the platform, and against stale records when the readers fail.
test('two nodes read and another takes over when they lose the platform', async () => {
  const published = createPublished();
  for (const vmId of ['entry-1', 'entry-2', 'entry-3', 'entry-4']) await startNode(vmId, published);
  published.vms = started.map(({ node }) => node.vm);
  published.vmRevision = 2;
  const listReaders = async (): Promise<typeof started> => {
    const before = new Map(started.map(({ platform }) => [platform, platform.listRequests]));
    await new Promise((resolve) => {
      setTimeout(resolve, 800);
    });
    return started.filter(({ platform }) => platform.listRequests > before.get(platform)!);
  };
  let readers = await listReaders();
  while (readers.length !== 2) readers = await listReaders();
  readers.forEach(({ platform }) => platform.goDown());
  const others = started.filter((each) => !readers.includes(each));
  const count = (): number => others.reduce((sum, { platform }) => sum + platform.listRequests, 0);
  const before = count();
  await waitUntil(() => count() > before);
  await waitUntil(() =>
    readers.every(({ node }) => node.get(PublishedState).getConfirmedAgeMs('vm-list') < 2_000),
  );
});
