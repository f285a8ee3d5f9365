import fc from 'fast-check';
import type { EndpointId } from '../core';
import { compareLoads, EndpointSpeeds } from './EndpointSpeeds';
import { choosePlacement, type PlacementCandidate } from './placement';
import { SeededRandom } from './SeededRandom';

const SLOW_MS = 40;
const FAST_MS = SLOW_MS / 2.4;
const PLACES = 6;
const IDS = Array.from({ length: 6 }, (_, index) => `service-${index}` as EndpointId);
const NEED = {
  knownTokens: 0,
  growthTokens: 0,
  prefillTokens: 0,
  tokensPerMs: 8,
  latencyGoalMs: 0,
};

const isFast = (index: number): boolean => index % 3 === 0;

/** A plain service with a queue before its places. */
class QueuedService {
  private placesFreeAtMs: ReadonlyArray<number> = Array.from({ length: PLACES }, () => 0);

  private endsAtMs: ReadonlyArray<number> = [];

  constructor(private readonly callMs: number) {}

  countInFlight(nowMs: number): number {
    this.endsAtMs = this.endsAtMs.filter((endMs) => endMs > nowMs);
    return this.endsAtMs.length;
  }

  /** Returns the time that a call takes, with its wait for a place. */
  call(nowMs: number): number {
    const [first = 0, ...others] = [...this.placesFreeAtMs].sort((a, b) => a - b);
    const endMs = Math.max(first, nowMs) + this.callMs;
    this.placesFreeAtMs = [endMs, ...others];
    this.endsAtMs = [...this.endsAtMs, endMs];
    return endMs - nowMs;
  }
}

function createCandidate(index: number, requests: number, timeFactor: number): PlacementCandidate {
  return {
    endpointId: IDS[index]!,
    slots: PLACES,
    memoryTokens: undefined,
    requests,
    heldTokens: 0,
    finalTokens: 0,
    pendingPrefillTokens: 0,
    endpointsInRegion: IDS.length,
    distance: 'same-data-centre',
    failureShare: 0,
    isWarmingUp: false,
    isEjected: false,
    slowness: 1,
    timeFactor,
    hasConnection: true,
    hasQuota: true,
  };
}

/** Sends a call each `intervalMs`; returns the mean of their times, and the calls by endpoint. */
function runCalls(
  intervalMs: number,
  timeFactors: ReadonlyArray<number>,
): { readonly meanMs: number; readonly counts: ReadonlyArray<number> } {
  const random = new SeededRandom(37);
  const services = IDS.map((_, index) => new QueuedService(isFast(index) ? FAST_MS : SLOW_MS));
  const counts = IDS.map(() => 0);
  const timesMs: number[] = [];
  for (let nowMs = 0; nowMs < 4_000; nowMs += intervalMs) {
    const candidates = services.map((service, index) =>
      createCandidate(index, service.countInFlight(nowMs), timeFactors[index]!),
    );
    const placement = choosePlacement(candidates, NEED, random.next());
    const index = IDS.indexOf((placement as { endpointId: EndpointId }).endpointId);
    counts[index]! += 1;
    timesMs.push(services[index]!.call(nowMs));
  }
  const meanMs = timesMs.reduce((sum, each) => sum + each, 0) / timesMs.length;
  return { meanMs, counts };
}

function learnFactors(
  getPaceMs: (index: number, atMs: number) => number,
  forMs: number,
): ReadonlyArray<number> {
  const speeds = new EndpointSpeeds();
  for (let atMs = 0; atMs <= forMs; atMs += 100) {
    IDS.forEach((id, index) => speeds.observe(id, getPaceMs(index, atMs), atMs));
    speeds.computeTimeFactors(IDS, atMs);
  }
  return speeds.computeTimeFactors(IDS, forMs);
}

// Load: calls at 0.25 to 1.1 of the capacity of six services, a third of which is 2.4 times as fast.
test.each([3, 1.5, 0.85, 0.7])('a call each %f ms: faster endpoints carry more', (intervalMs) => {
  const learned = learnFactors((index) => (isFast(index) ? FAST_MS : SLOW_MS), 10_000);
  const equal = IDS.map(() => 1);
  const informed = runCalls(intervalMs, learned);
  expect(informed.counts[0]! / informed.counts[1]!).toBeGreaterThan(2.3);
  expect(informed.meanMs).toBeLessThan(runCalls(intervalMs, equal).meanMs);
});

// Load: equally fast endpoints that differ by noise and pause for half a second, 2.5 times slower.
test('noise and short pauses are no difference in speed', () => {
  fc.assert(
    fc.property(
      fc.array(fc.double({ min: 0.8, max: 1.25, noNaN: true }), { minLength: 50, maxLength: 50 }),
      fc.array(fc.record({ index: fc.nat(5), atMs: fc.nat(20_000) }), { maxLength: 8 }),
      (noise, pauses) => {
        const getPaceMs = (index: number, atMs: number): number => {
          const isPaused = pauses.some(
            (pause) => pause.index === index && atMs >= pause.atMs && atMs < pause.atMs + 500,
          );
          return SLOW_MS * noise[(index * 7 + atMs / 100) % 50]! * (isPaused ? 2.5 : 1);
        };
        expect(learnFactors(getPaceMs, 20_000)).toEqual(IDS.map(() => 1));
      },
    ),
    { numRuns: 60, seed: 20261206 },
  );
});

// Load: a fast endpoint that gets more work seems slower, and would lose and regain it by turns.
test('a fast endpoint stays fast under its greater load', () => {
  const underLoad = 1.6;
  const factors = learnFactors(
    (index, atMs) => (isFast(index) ? FAST_MS * (atMs > 10_000 ? underLoad : 1) : SLOW_MS),
    40_000,
  );
  expect(factors[0]).toBeCloseTo(underLoad / 2.4, 1);
});

// Load: one region is crowded and the other idle, whose equally fast engines answer faster.
test('endpoints with much less or more load are not compared', () => {
  expect(compareLoads([10, 12, 9, 1, 40])).toEqual([true, true, true, false, false]);
  expect(compareLoads([0, 1, 0])).toEqual([true, true, true]);
});
