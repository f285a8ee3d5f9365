import fc from 'fast-check';
import type { EndpointId } from '../core';
import { InFlightReservations } from './InFlightReservations';
import { ROUTING_OPTIONS } from './options';
import { averageSurvival, predictMemory } from './predictMemory';
import { createEngineView } from './routingFixtures';

const NO_OTHERS = { survival: averageSurvival([]), promptTokens: 0, unreported: 0 };
const ENGINE = 'engine-0' as EndpointId;

function reserve(startedAtMs: number, promptTokens: number) {
  return {
    endpointId: ENGINE,
    startedAtMs,
    rank: 2,
    promptTokens,
    producedTokens: 0,
    forecast: undefined,
  };
}

// Guards against counting a prompt twice, in the report and as a reservation, or not at all.
test('counts each prompt once', () => {
  const starts = fc.array(
    fc.tuple(fc.integer({ min: 0, max: 5_000 }), fc.integer({ min: 1, max: 900 })),
    { maxLength: 20 },
  );
  fc.assert(
    fc.property(starts, fc.integer({ min: 0, max: 5_000 }), (all, takenAtMs) => {
      const reservations = all.map(([startedAtMs, tokens]) => reserve(startedAtMs, tokens));
      const reported = reservations.filter(
        ({ startedAtMs }) => startedAtMs + ROUTING_OPTIONS.reportSettleMs <= takenAtMs,
      );
      const memoryUsedTokens = reported.reduce((sum, held) => sum + held.promptTokens, 0);
      const report = {
        ...createEngineView(0).report!,
        memoryUsedTokens,
        running: reported.length,
      };
      const view = createEngineView(0, { report, reportAgeMs: 5_000 - takenAtMs, reservations });
      const memory = predictMemory(view, 5_000, undefined, NO_OTHERS, ROUTING_OPTIONS);
      const reservedTokens = all.reduce((sum, [, tokens]) => sum + tokens, 0);
      expect(memory.freeTokens).toBe(report.memoryTotalTokens - reservedTokens);
      expect(memory.running).toBe(all.length);
    }),
    { seed: 1, numRuns: 300 },
  );
});

// Guards against reservations that are never released, or released twice, when requests end.
test('releases each reservation once', () => {
  fc.assert(
    fc.property(fc.array(fc.nat({ max: 9 }), { maxLength: 40 }), (releases) => {
      const held = new InFlightReservations();
      const handles = Array.from({ length: 10 }, (_, index) => held.add(reserve(index, 1)));
      const returned = releases.filter((index) => held.release(ENGINE, handles[index]!));
      expect(returned.length).toBe(new Set(releases).size);
      expect(held.size).toBe(10 - returned.length);
    }),
    { seed: 1, numRuns: 200 },
  );
});
