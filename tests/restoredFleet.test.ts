/**
 * Random returns of the source from older copies, with stale reads, errors and restarted nodes.
 *
 * The long run: `RESTORED_SEEDS=60 RESTORED_NODES=9 npx jest tests/restoredFleet.test.ts`.
 */
import fc from 'fast-check';
import { RestoredFleet } from './RestoredFleet';

const SEEDS = Number(process.env.RESTORED_SEEDS ?? 2);
const NODES = Number(process.env.RESTORED_NODES ?? 8);
const DISTURBED_MS = 20_000;
const QUIET_MS = 8_000;

/** A reader calls at most once in 170 ms, and sooner only after a change or in a new era. */
const SHORTEST_INTERVAL_MS = 170;

// Guards against a version that goes back, an engine that left and is used again, nodes that never
// agree, and readers that call the source without a pause, after it came back from a copy.
test(
  'nodes agree with a source that comes back from copies',
  async () => {
    await fc.assert(
      fc.asyncProperty(fc.integer({ min: 1, max: 1_000_000 }), async (seed) => {
        const fleet = await RestoredFleet.start(seed, NODES);
        try {
          await fleet.runDisturbed(DISTURBED_MS / 2);
          await fleet.restartNode(NODES - 1);
          await fleet.runDisturbed(DISTURBED_MS / 2);
          await fleet.runQuiet(QUIET_MS);
          fleet.checkAgreement();
        } finally {
          await fleet.stop();
        }
        expect(fleet.faults).toEqual([]);
        const intervals = (DISTURBED_MS + QUIET_MS) / SHORTEST_INTERVAL_MS;
        const reads = intervals + fleet.store.writes + 2 * fleet.store.state.era;
        expect(fleet.store.calls).toBeLessThan(NODES * reads);
      }),
      { numRuns: SEEDS, seed: 20261205, endOnFailure: true },
    );
  },
  60_000 + SEEDS * NODES * 3_000,
);
