import fc from 'fast-check';
import { computeLimitShare, computeLeaseSize } from './limitShares';

const SEED = 7;

// Guards against exceeding the limit during a partition, by what both sides grant together.
test('two sides of a partition stay within the limit', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 1000 }),
      fc.integer({ min: 2, max: 400 }),
      fc.nat(),
      (limit, listed, cut) => {
        const oneSide = 1 + (cut % (listed - 1));
        const sum =
          computeLimitShare(limit, oneSide, listed) +
          computeLimitShare(limit, listed - oneSide, listed);
        expect(sum).toBeLessThanOrEqual(limit);
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
});

// Guards against leases that add up to more than the share, for some order of requests.
test('leases granted in any order stay within the share', () => {
  const requestArbitrary = fc.record({ node: fc.nat({ max: 8 }), wanted: fc.nat({ max: 30 }) });
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 40 }), fc.array(requestArbitrary), (share, requests) => {
      const held = new Map<number, number>();
      requests.forEach(({ node, wanted }) => {
        const others = [...held].filter(([id]) => id !== node);
        const lease = computeLeaseSize(
          share,
          others.map(([, generations]) => ({ generations })),
          0,
          wanted,
        );
        held.set(node, lease);
        expect([...held.values()].reduce((sum, each) => sum + each, 0)).toBeLessThanOrEqual(share);
      });
    }),
    { seed: SEED, numRuns: 500 },
  );
});
