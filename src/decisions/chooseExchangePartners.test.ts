import fc from 'fast-check';
import type { VmId } from '../core';
import {
  chooseExchangePartners,
  EXCHANGE_OPTIONS,
  type ExchangeNode,
} from './chooseExchangePartners';

const DATA_CENTRES = 6;

const fleetArbitrary = fc
  .array(
    fc.record({
      dataCentre: fc.nat(DATA_CENTRES - 1),
      takesCallers: fc.boolean(),
      hasFailed: fc.boolean(),
    }),
    { minLength: 1, maxLength: 300 },
  )
  .map((nodes): ReadonlyArray<ExchangeNode> =>
    nodes.map(({ dataCentre, ...node }, index) => ({
      ...node,
      vmId: `front-${index}` as VmId,
      dataCentre: `dc-${dataCentre}`,
    })),
  );

const createFleet = (nodes: number): ReadonlyArray<ExchangeNode> =>
  Array.from({ length: nodes }, (_, index) => ({
    vmId: `front-${index}` as VmId,
    dataCentre: `dc-${index % DATA_CENTRES}`,
    takesCallers: true,
    hasFailed: false,
  }));

const chooseAll = (
  nodes: ReadonlyArray<ExchangeNode>,
): ReadonlyArray<ReturnType<typeof chooseExchangePartners>> =>
  nodes.map((self) =>
    chooseExchangePartners(
      self,
      nodes.filter((node) => node !== self),
      [],
      false,
    ),
  );

// Guards against a part of the fleet without partners, and against links that grow with the fleet.
test('every node has partners, and their number is bounded', () => {
  fc.assert(
    fc.property(fleetArbitrary, (nodes) => {
      chooseAll(nodes).forEach(({ role, partners }, index) => {
        const { vmId } = nodes[index]!;
        expect(partners).not.toContain(vmId);
        if (nodes.length > 1) expect(partners.length).toBeGreaterThan(0);
        const { fullMeshNodes, aggregatorsPerDataCentre } = EXCHANGE_OPTIONS;
        const most = role === 'mesh' ? fullMeshNodes : DATA_CENTRES * aggregatorsPerDataCentre;
        expect(partners.length).toBeLessThanOrEqual(most);
      });
    }),
    { seed: 1, numRuns: 60 },
  );
});

// Guards against a fleet whose calls to the source grow with its size, or that nobody reads for.
test.each([1, 2, 8, 66, 195, 300])('few of %i nodes read from the source', (nodes) => {
  const choices = chooseAll(createFleet(nodes));
  const readers = choices.filter(({ readers: followed }) => followed.length === 0);
  expect(readers).toHaveLength(Math.min(nodes, EXCHANGE_OPTIONS.readers));
});

// Guards against readers that are lost together with one data centre.
test('the readers are in different data centres', () => {
  const nodes = createFleet(195);
  const choices = chooseAll(nodes);
  const places = nodes.filter((_, index) => choices[index]?.readers.length === 0);
  expect(new Set(places.map(({ dataCentre }) => dataCentre)).size).toBe(EXCHANGE_OPTIONS.readers);
});

// Guards against waiting for an aggregator that doesn't answer or is shutting down.
test.each(['hasFailed', 'takesCallers'] as const)('another aggregator for one by %s', (field) => {
  const nodes = createFleet(66);
  const self = nodes[0]!;
  const others = nodes.slice(1);
  const before = chooseExchangePartners(self, others, [], false);
  const changed = others.map((node) =>
    before.partners.includes(node.vmId) ? { ...node, [field]: field === 'hasFailed' } : node,
  );
  const after = chooseExchangePartners(self, changed, [], false);
  expect(after.partners.filter((vmId) => before.partners.includes(vmId))).toEqual([]);
});

// Guards against a node that is alone because everyone that it has heard of lately is gone.
test('a rest of a fleet tries silent nodes', () => {
  const [self, ...silent] = createFleet(66);
  const { role, partners } = chooseExchangePartners(self!, [], silent, false);
  expect(role).toBe('mesh');
  expect(partners).toHaveLength(EXCHANGE_OPTIONS.silentPartners);
});
