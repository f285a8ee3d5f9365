import fc from 'fast-check';
import type { EndpointId } from '../core';
import {
  combineDataCentreLoads,
  combineLoadSums,
  subtractLoads,
  sumLoads,
  type EndpointLoad,
} from './loadSums';

const loadArbitrary = fc
  .record({
    endpoint: fc.nat(5),
    requests: fc.nat(30),
    heldTokens: fc.nat(30_000),
    finalTokens: fc.nat(40_000),
    pendingPrefillTokens: fc.nat(6_000),
    paceMs: fc.option(fc.nat(100), { nil: undefined }),
  })
  .map(({ endpoint, ...load }): EndpointLoad => ({
    endpointId: `engine-${endpoint}` as EndpointId,
    ...load,
  }));

const nodesArbitrary = fc.array(fc.array(loadArbitrary, { maxLength: 6 }), { maxLength: 20 });

// Guards against loads that change when they are added up in parts.
test('sums of parts equal the sum of all', () => {
  fc.assert(
    fc.property(nodesArbitrary, fc.nat(20), (nodes, cut) => {
      const parts = [nodes.slice(0, cut), nodes.slice(cut)].map(sumLoads);
      expect(new Map(combineLoadSums(parts))).toEqual(new Map(sumLoads(nodes)));
    }),
    { seed: 2 },
  );
});

// Guards against a node that sees its own load in the sums of others.
test('a node can be left out of a sum', () => {
  fc.assert(
    fc.property(nodesArbitrary, fc.array(loadArbitrary, { maxLength: 6 }), (others, own) => {
      const rest = subtractLoads(sumLoads([...others, own]), own);
      sumLoads(others).forEach((sum, endpointId) => expect(rest.get(endpointId)).toEqual(sum));
    }),
    { seed: 3 },
  );
});

// Guards against counting the nodes of a data centre once for each of its aggregators.
test('each data centre counts once, by its newest sums', () => {
  const sums = (requests: number): ReturnType<typeof sumLoads> =>
    sumLoads([
      [
        {
          endpointId: 'engine-1' as EndpointId,
          requests,
          heldTokens: 0,
          finalTokens: 0,
          pendingPrefillTokens: 0,
        },
      ],
    ]);
  const combined = combineDataCentreLoads([
    { dataCentre: 'brisbane', takenAtMs: 10, sums: sums(3) },
    { dataCentre: 'brisbane', takenAtMs: 20, sums: sums(4) },
    { dataCentre: 'cairns', takenAtMs: 5, sums: sums(7) },
  ]);
  expect(combined.get('engine-1' as EndpointId)?.requests).toBe(11);
});
