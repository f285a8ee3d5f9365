import fc from 'fast-check';
import { MemoryNetwork } from '../../../tests/MemoryNetwork';
import type { TestNode } from '../../../tests/TestNode';
import type { EndpointReport, PublishedRecord, Vm } from '../../core';
import { Fleet, Gossip, PublishedState, SourceProgress } from '../../services';
import { GossipPlugin } from '.';

const REPORT: EndpointReport = {
  memoryUsedTokens: 100,
  memoryTotalTokens: 1_000,
  running: 1,
  waiting: 0,
  preemptions: 0,
  leaving: false,
  models: ['summary-1'],
};

const ENGINE = {
  vmId: 'engine-1',
  role: 'engine',
  url: 'http://127.0.0.1:9',
  dataCentre: 'brisbane',
  region: 'seq',
  state: 'live',
  models: ['summary-1'],
} as unknown as Vm;

/** A random generator with a fixed seed, so that failures can be reproduced. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
    return state / 2 ** 31;
  };
}

async function startFleet(seed: number, count: number): Promise<MemoryNetwork> {
  const network = new MemoryNetwork(createRandom(seed));
  for (let index = 0; index < count; index++) {
    await network.start({ vmId: `entry-${index}`, plugins: [GossipPlugin] });
  }
  const nodes = [...network.nodes.values()];
  nodes.forEach((node) => node.mergeVms([...nodes.map(({ vm }) => vm), ENGINE]));
  return network;
}

const recordsOf = (node: TestNode): ReadonlyArray<PublishedRecord> =>
  [...node.get(PublishedState).list('')].sort((a, b) => (a.key < b.key ? -1 : 1));

const faultsArbitrary = fc.record({
  lossShare: fc.double({ min: 0, max: 0.4, noNaN: true }),
  duplicateShare: fc.double({ min: 0, max: 0.4, noNaN: true }),
  maxDelayMs: fc.integer({ min: 5, max: 1_500 }),
});

const NO_FAULTS = { lossShare: 0, duplicateShare: 0, maxDelayMs: 5 };

// Guards against records that revert or never arrive when messages are lost, duplicated or reordered
// and nodes are paused.
test('records converge and never revert', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.nat(),
      faultsArbitrary,
      fc.array(fc.record({ node: fc.nat(5), team: fc.nat(3), waitMs: fc.nat(2_000) }), {
        minLength: 1,
        maxLength: 10,
      }),
      async (seed, faults, changes) => {
        const network = await startFleet(seed, 6);
        const nodes = [...network.nodes.values()];
        const reverts: string[] = [];
        nodes.forEach((node) => {
          const highest = new Map<string, number>();
          node.get(PublishedState).onChange('', ({ key, revision }) => {
            if (revision < (highest.get(key) ?? 0)) reverts.push(key);
            highest.set(key, revision);
          });
        });
        network.setFaults(faults);
        network.pause('entry-1', 8_000);
        for (const [index, { node, team, waitMs }] of changes.entries()) {
          const key = `contracts/team-${team}`;
          nodes[node]!.get(PublishedState).merge([{ key, revision: index + 2, body: '{}' }]);
          await network.run(waitMs);
        }
        network.setFaults(NO_FAULTS);
        await network.run(20_000);
        expect(reverts).toEqual([]);
        nodes.forEach((node) => expect(recordsOf(node)).toEqual(recordsOf(nodes[0]!)));
        changes.forEach(({ team }, index) => {
          const held = nodes[0]!.get(PublishedState).get(`contracts/team-${team}`);
          expect(held!.revision).toBeGreaterThanOrEqual(index + 2);
        });
        await network.stop();
      },
    ),
    { seed: 1, numRuns: 8 },
  );
});

// Guards against taking old data for fresh because a message was delayed by a link or a paused
// process.
test('ages are never understated', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.nat(),
      faultsArbitrary,
      fc.array(fc.record({ node: fc.nat(4), forMs: fc.nat(9_000), waitMs: fc.nat(3_000) }), {
        maxLength: 5,
      }),
      async (seed, faults, pauses) => {
        const network = await startFleet(seed, 5);
        const nodes = [...network.nodes.values()];
        const reader = nodes[0]!;
        nodes.forEach((node) => node.get(SourceProgress).markComplete('vm-list', 1));
        let confirmedMs = -Infinity;
        const understated: string[] = [];
        const step = (): void => {
          if (network.timeMs % 500 === 0 && !network.isPaused('entry-0')) {
            reader.get(PublishedState).confirm('vm-list', 0);
            reader
              .get(Fleet)
              .mergeReports([{ endpointId: 'engine-1' as never, report: REPORT, ageMs: 0 }]);
            confirmedMs = network.timeMs;
          }
          const trueAgeMs = network.timeMs - confirmedMs;
          nodes
            .filter(({ settings }) => !network.isPaused(settings.vmId))
            .forEach((node) => {
              const ages = [
                node.get(PublishedState).getConfirmedAgeMs('vm-list'),
                node.get(Fleet).findEndpoint('engine-1' as never)!.reportAgeMs,
              ];
              if (Math.min(...ages) < trueAgeMs) understated.push(node.settings.vmId);
            });
        };
        network.setFaults(faults);
        for (const { node, forMs, waitMs } of pauses) {
          network.pause(`entry-${node}`, forMs);
          await network.run(waitMs, step);
        }
        await network.run(10_000, step);
        expect(understated).toEqual([]);
        network.setFaults(NO_FAULTS);
        await network.run(8_000, step);
        nodes.forEach((node) =>
          expect(node.get(PublishedState).getConfirmedAgeMs('vm-list')).toBeLessThan(5_000),
        );
        await network.stop();
      },
    ),
    { seed: 1, numRuns: 12 },
  );
});

// Guards against sending work to a leaving endpoint: the report that it is leaving must reach every
// node, and a node that was paused must not assign work based on its old report.
test('a leaving endpoint is not assignable after 5 s, nor in a paused node', async () => {
  const network = await startFleet(7, 6);
  const nodes = [...network.nodes.values()];
  const isAssignable = (node: TestNode): boolean =>
    node.get(Fleet).findEndpoint('engine-1' as never)!.assignable.allowed;
  let report = REPORT;
  const poll = (): void => {
    if (network.timeMs % 1_000 > 0) return;
    nodes[0]!.get(Fleet).mergeReports([{ endpointId: 'engine-1' as never, report, ageMs: 0 }]);
  };
  await network.run(6_000, poll);
  expect(nodes.map(isAssignable)).not.toContain(false);
  network.pause('entry-5', 30_000);
  report = { ...REPORT, leaving: true };
  await network.run(5_000, poll);
  expect(nodes.slice(0, 5).map(isAssignable)).not.toContain(true);
  await network.run(24_950, poll);
  const assignedWhenResumed: boolean[] = [];
  await network.run(3_000, () => {
    poll();
    assignedWhenResumed.push(isAssignable(nodes[5]!));
  });
  expect(assignedWhenResumed).not.toContain(true);
  await network.stop();
});

// Guards against a report of a leaving endpoint that is delayed by a whole round at each hop.
test('urgent changes spread ahead of the rounds', async () => {
  const network = await startFleet(3, 5);
  const nodes = [...network.nodes.values()];
  const mergeReport = (leaving: boolean): void =>
    nodes[0]!
      .get(Fleet)
      .mergeReports([
        { endpointId: 'engine-1' as never, report: { ...REPORT, leaving }, ageMs: 0 },
      ]);
  mergeReport(false);
  await network.run(5_000);
  mergeReport(true);
  nodes[0]!.get(Gossip).announce();
  await network.run(300);
  nodes.forEach((node) =>
    expect(node.get(Fleet).findEndpoint('engine-1' as never)!.report?.leaving).toBe(true),
  );
  await network.stop();
});

// Guards against a record change that is delayed by a whole round at each hop.
test('a change is pushed to all nodes at once', async () => {
  const network = await startFleet(5, 6);
  const nodes = [...network.nodes.values()];
  await network.run(3_000);
  nodes[2]!.get(PublishedState).merge([{ key: 'contracts/a', revision: 9, body: '{}' }]);
  await network.run(200);
  nodes.forEach((node) => expect(node.get(PublishedState).get('contracts/a')).toBeDefined());
  await network.stop();
});

test('a draining node is reported as draining at once', async () => {
  const network = await startFleet(9, 4);
  const nodes = [...network.nodes.values()];
  await network.run(4_000);
  expect(nodes[1]!.get(Fleet).findNode('entry-0' as never)?.state).toBe('serving');
  await nodes[0]!.drain();
  await network.run(300);
  nodes.forEach((node) =>
    expect(node.get(Fleet).findNode('entry-0' as never)?.state).toBe('draining'),
  );
  await network.stop();
});

// Guards against one side of a partition that keeps using old data about the other side.
test('ages grow on both sides of a partition and shrink after it', async () => {
  const network = await startFleet(11, 6);
  const nodes = [...network.nodes.values()];
  const listUnknown = (): ReadonlyArray<string> =>
    nodes[5]!
      .get(Fleet)
      .listNodes()
      .filter(({ state }) => state === 'unknown')
      .map(({ vm }) => vm.vmId);
  await network.run(5_000);
  expect(listUnknown()).toEqual([]);
  const isLeft = (vmId: string): boolean => vmId < 'entry-3';
  network.setPartition((a, b) => isLeft(a) !== isLeft(b));
  await network.run(20_000);
  expect(listUnknown()).toEqual(['entry-0', 'entry-1', 'entry-2']);
  network.setPartition(() => false);
  await network.run(6_000);
  expect(listUnknown()).toEqual([]);
  await network.stop();
});

// Guards against an old VM list that counts as confirmed because a peer confirmed a newer one.
test('confirms nothing for a node that lacks records', async () => {
  const network = await startFleet(13, 2);
  const [first, second] = [...network.nodes.values()] as [TestNode, TestNode];
  [first, second].forEach((node) => node.get(SourceProgress).markComplete('vm-list', 1));
  await network.run(2_000);
  network.setDroppedTypes(['published.push', 'published.pull']);
  first.mergeVms([{ ...ENGINE, state: 'leaving' }], 2);
  await network.run(6_000, () => first.get(PublishedState).confirm('vm-list', 0));
  const isAssignable = (): boolean =>
    second.get(Fleet).findEndpoint('engine-1' as never)!.assignable.allowed;
  expect(second.get(PublishedState).getConfirmedAgeMs('vm-list')).toBeGreaterThan(5_000);
  expect(isAssignable()).toBe(false);
  network.setDroppedTypes([]);
  await network.run(3_000, () => first.get(PublishedState).confirm('vm-list', 0));
  expect(second.get(PublishedState).getConfirmedAgeMs('vm-list')).toBeLessThan(3_000);
  expect(second.get(Fleet).findEndpoint('engine-1' as never)!.vm.state).toBe('leaving');
  await network.stop();
});
