import fc from 'fast-check';
import { compareWaitingWork, decideAdmission } from './admission';
import { ROUTING_OPTIONS } from './options';

// Guards against serving a lower priority first, and against overtaking within a rank.
test('orders by rank, then deadline, then arrival', () => {
  const work = fc.record({
    rank: fc.nat({ max: 3 }),
    deadlineMs: fc.nat({ max: 5 }),
    arrival: fc.nat(),
  });
  fc.assert(
    fc.property(fc.array(work, { minLength: 2 }), (all) => {
      const sorted = [...all].sort(compareWaitingWork);
      sorted.slice(1).forEach((later, index) => {
        const earlier = sorted[index]!;
        expect(earlier.rank).toBeLessThanOrEqual(later.rank);
        if (earlier.rank < later.rank) return;
        expect(earlier.deadlineMs).toBeLessThanOrEqual(later.deadlineMs);
        if (earlier.deadlineMs < later.deadlineMs) return;
        expect(earlier.arrival).toBeLessThanOrEqual(later.arrival);
      });
    }),
    { seed: 1, numRuns: 200 },
  );
});

// Guards against refusals that can't be traced to a clause of the contract or have no retry time.
test('names the clause and the time to retry in a refusal', () => {
  const tokens = fc.nat({ max: 100_000 });
  const input = fc.record({
    tokensAhead: tokens,
    missingTokens: tokens,
    fleetFreedTokensPerMs: fc.double({ min: 0, max: 100, noNaN: true }),
    decidingNodes: fc.integer({ min: 1, max: 400 }),
    ownFreedTokensPerMs: fc.option(fc.double({ min: 0.01, max: 100, noNaN: true }), {
      nil: undefined,
    }),
  });
  fc.assert(
    fc.property(input, fc.nat({ max: 10_000 }), (state, maxWaitMs) => {
      const allowed = { clausePath: 'kindsOfWork[3]', maxWaitMs };
      const verdict = decideAdmission(state, allowed, ROUTING_OPTIONS);
      if (verdict.admitted) {
        expect(verdict.expectedWaitMs ?? 0).toBeLessThanOrEqual(maxWaitMs);
        return;
      }
      expect(verdict.clause).toBe('kindsOfWork[3].maxWaitMs');
      expect(verdict.reason).toContain(verdict.clause);
      expect(verdict.retryAfterMs).toBeGreaterThan(0);
    }),
    { seed: 1, numRuns: 300 },
  );
});
