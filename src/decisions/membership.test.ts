import fc from 'fast-check';
import type { VmId } from '../core';
import { chooseReaders, chooseReporters, type PollerCandidate } from './duties';
import { chooseNeighbours } from './neighbours';
import { decideReading } from './reading';
import { rankByRendezvous } from './rendezvous';

const LIMITS = { fullMeshNodes: 12, gatewaysPerDataCentre: 2 };

/** Nodes in up to 3 regions with up to 3 data centres each. */
const nodesArbitrary = fc
  .array(fc.record({ region: fc.nat(2), dataCentre: fc.nat(2), isServing: fc.boolean() }), {
    minLength: 1,
    maxLength: 120,
  })
  .map((places): ReadonlyArray<PollerCandidate> =>
    places.map(({ region, dataCentre, isServing }, index) => ({
      vmId: `entry-${index}` as VmId,
      region: `r${region}`,
      dataCentre: `r${region}-${dataCentre}`,
      isServing,
    })),
  );

function countReachable(nodes: ReadonlyArray<PollerCandidate>): number {
  const reached = new Set([nodes[0]!.vmId]);
  let frontier = [nodes[0]!];
  while (frontier.length > 0) {
    frontier = frontier
      .flatMap((node) => chooseNeighbours(node, nodes, LIMITS))
      .flatMap(({ vmId }) => (reached.has(vmId) ? [] : nodes.filter((n) => n.vmId === vmId)));
    frontier.forEach(({ vmId }) => reached.add(vmId));
  }
  return reached.size;
}

// Guards against a part of the fleet that gossip doesn't reach.
test('the neighbour graph is connected, symmetric and of bounded degree', () => {
  fc.assert(
    fc.property(nodesArbitrary, fc.nat(), (nodes, pick) => {
      const self = nodes[pick % nodes.length]!;
      const neighbours = chooseNeighbours(self, nodes, LIMITS);
      expect(neighbours.length).toBeLessThanOrEqual(LIMITS.fullMeshNodes);
      neighbours.forEach((neighbour) =>
        expect(chooseNeighbours(neighbour, nodes, LIMITS)).toContain(self),
      );
      expect(countReachable(nodes)).toBe(nodes.length);
    }),
    { seed: 1, numRuns: 60 },
  );
});

// Guards against a ranking that depends on the order of the list or changes when others join or
// leave.
test('rendezvous keeps its order when others join or leave', () => {
  fc.assert(
    fc.property(fc.uniqueArray(fc.string(), { minLength: 2 }), fc.string(), (ids, key) => {
      const getId = (id: string): string => id;
      const ranked = rankByRendezvous(key, ids, getId);
      expect(rankByRendezvous(key, [...ids].reverse(), getId)).toEqual(ranked);
      const without = ids.filter((id) => id !== ranked[0]);
      expect(rankByRendezvous(key, without, getId)).toEqual(ranked.slice(1));
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('rendezvous spreads keys over similar names', () => {
  const ids = Array.from({ length: 10 }, (_, index) => `entry-${index}`);
  const counts = new Map<string, number>();
  for (let key = 0; key < 2_000; key++) {
    const first = rankByRendezvous(`contracts/team-${key}`, ids, (id) => id)[0]!;
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  expect(Math.min(...counts.values())).toBeGreaterThan(140);
  expect(Math.max(...counts.values())).toBeLessThan(260);
});

// Guards against a data centre without readers or an endpoint without pollers while nodes serve.
test('readers and reporters are serving nodes near by', () => {
  fc.assert(
    fc.property(nodesArbitrary, (nodes) => {
      const { dataCentre, region } = nodes[0]!;
      const find = (vmId: VmId): PollerCandidate => nodes.find((node) => node.vmId === vmId)!;
      const readers = chooseReaders('vm-list', dataCentre, nodes, 2).map(find);
      const local = nodes.filter((node) => node.dataCentre === dataCentre);
      const servingLocal = local.filter(({ isServing }) => isServing);
      const candidates = servingLocal.length > 0 ? servingLocal : local;
      expect(readers).toHaveLength(Math.min(2, candidates.length));
      readers.forEach((reader) => expect(candidates).toContain(reader));
      const endpoint = { endpointId: 'engine-1', dataCentre, region };
      const reporters = chooseReporters(endpoint, nodes, 2).map(find);
      const serving = nodes.filter(({ isServing }) => isServing);
      expect(reporters).toHaveLength(Math.min(2, serving.length || nodes.length));
      if (servingLocal.length >= 2) {
        reporters.forEach((reporter) => expect(servingLocal).toContain(reporter));
      }
    }),
    { seed: 1, numRuns: 200 },
  );
});

const READING = {
  isChosen: false,
  confirmedAgeMs: 500,
  isComplete: true,
  hasPeers: true,
  runningMs: 60_000,
};

test.each([
  ['a reader', { isChosen: true }, true],
  ['a node with up-to-date readers', {}, false],
  ['a node whose readers are silent', { confirmedAgeMs: 3_600 }, true],
  ['a new node without peers', { isComplete: false, hasPeers: false, runningMs: 0 }, true],
  ['a new node with peers', { isComplete: false, runningMs: 100 }, false],
  ['a new node whose peers are silent', { isComplete: false, runningMs: 2_600 }, true],
  [
    'a new node that is chosen before it has asked its peers',
    { isComplete: false, isChosen: true, runningMs: 0 },
    false,
  ],
])('reading by %s', (_name, change, expected) => {
  const limits = { askPeersMs: 2_000, takeOverAgeMs: 3_000, jitterMs: 500 };
  expect(decideReading({ ...READING, ...change }, limits).read).toBe(expected);
});
