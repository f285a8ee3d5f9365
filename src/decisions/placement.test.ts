import type { EndpointId } from '../core';
import {
  chooseBackupEngine,
  chooseMigrationTarget,
  choosePlacement,
  type PlacementCandidate,
} from './placement';

const NEED = {
  knownTokens: 3_000,
  growthTokens: 1_000,
  prefillTokens: 3_000,
  tokensPerMs: 8,
  latencyGoalMs: 1_800,
};

function createCandidate(
  id: string,
  changes: Partial<PlacementCandidate> = {},
): PlacementCandidate {
  return {
    endpointId: id as EndpointId,
    slots: 24,
    memoryTokens: 34_000,
    requests: 2,
    heldTokens: 7_000,
    finalTokens: 8_000,
    pendingPrefillTokens: 0,
    endpointsInRegion: 4,
    distance: 'same-data-centre',
    failureShare: 0,
    isWarmingUp: false,
    isEjected: false,
    slowness: 1,
    timeFactor: 1,
    hasConnection: true,
    hasQuota: true,
    ...changes,
  };
}

function choose(candidates: ReadonlyArray<PlacementCandidate>): string | undefined {
  const verdict = choosePlacement(candidates, NEED, 0.5);
  return verdict.outcome === 'place' ? verdict.endpointId : undefined;
}

// Guards against a penalty that the cost leaves out, so that the worse endpoint is chosen.
test.each([
  ['one with less memory needed', { heldTokens: 20_000, finalTokens: 20_000 }],
  ['one whose generations could migrate', { endpointsInRegion: 1 }],
  ['one with free slots', { requests: 23 }],
  ['the nearer one', { distance: 'other-region' as const }],
  ['one without failures', { failureShare: 0.4 }],
  ['one with less pending prefill', { pendingPrefillTokens: 6_000 }],
  ['one that is warm', { isWarmingUp: true }],
  ['one of the usual speed', { slowness: 4 }],
  ['one that is lastingly faster', { timeFactor: 2.4 }],
  ['one that is not ejected', { isEjected: true }],
  ['one with a free connection', { hasConnection: false }],
  ['one with cold quota left', { hasQuota: false }],
])('prefers %s', (_name, changes) => {
  expect(choose([createCandidate('worse', changes), createCandidate('better')])).toBe('better');
});

// Guards against the herd of a large fleet: until the next sums arrive, many nodes place by the same
// ones, and all would choose the engine that they show as the emptiest.
test('nodes with the same old sums spread their requests', () => {
  const engines = Array.from({ length: 41 }, (_, index) =>
    createCandidate(`engine-${index}`, {
      requests: 4 + (index % 3),
      heldTokens: 9_000 + 300 * index,
    }),
  );
  const countMost = (loadAgeMs: number): number => {
    const counts = new Map<string, number>();
    for (let node = 0; node < 27; node++) {
      const placed = choosePlacement(engines, NEED, (node * 0.37) % 1, true, loadAgeMs);
      const id = placed.outcome === 'place' ? placed.endpointId : 'none';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    return Math.max(...counts.values());
  };
  expect(countMost(0)).toBeGreaterThan(10);
  expect(countMost(900)).toBeLessThanOrEqual(4);
});

// Guards against a spread that ignores what is known: a full or failing engine is no tie.
test.each([
  ['full', { requests: 24 }],
  ['failing', { failureShare: 0.5 }],
  ['ejected', { isEjected: true }],
])('old sums do not lead to a %s engine', (_name, changes) => {
  const engines = [createCandidate('worse', changes), createCandidate('better')];
  [0, 0.5, 0.99].forEach((draw) => {
    const placed = choosePlacement(engines, NEED, draw, true, 3_000);
    expect(placed).toMatchObject({ outcome: 'place', endpointId: 'better' });
  });
});

// Guards against refusing requests when every endpoint is ejected.
test('uses an ejected endpoint when there is no other', () => {
  expect(choose([createCandidate('only', { isEjected: true })])).toBe('only');
});

// Guards against a distance penalty so high that requests go to a full endpoint near by.
test('goes to another region when the near one is full', () => {
  const near = createCandidate('near', { heldTokens: 30_000, finalTokens: 30_000 });
  expect(choose([near, createCandidate('far', { distance: 'other-region' })])).toBe('far');
});

test('refuses without candidates', () => {
  expect(choosePlacement([], NEED, 0).outcome).toBe('refuse');
  expect(chooseMigrationTarget([], NEED, 0).outcome).toBe('refuse');
});

// Guards against all nodes migrating generations to the emptiest engine when another engine leaves.
test('spreads migrated generations by free memory', () => {
  const candidates = [
    createCandidate('empty', { heldTokens: 0, finalTokens: 0 }),
    createCandidate('half', { heldTokens: 13_000, finalTokens: 13_000 }),
    createCandidate('full', { heldTokens: 34_000, finalTokens: 34_000 }),
  ];
  const chosen = Array.from({ length: 1_000 }, (_, index) => {
    const verdict = chooseMigrationTarget(candidates, NEED, index / 1_000);
    return verdict.outcome === 'place' ? verdict.endpointId : '';
  });
  const share = (id: string): number =>
    chosen.filter((found) => found === id).length / chosen.length;
  expect(share('empty')).toBeGreaterThan(0.5);
  expect(share('half')).toBeGreaterThan(0.2);
  expect(share('full')).toBeLessThan(0.05);
});

// Guards against copies over the link between regions, which delay other traffic and don't finish.
test('migrates no generation to another region', () => {
  const far = createCandidate('far', { distance: 'other-region', heldTokens: 0, finalTokens: 0 });
  expect(chooseMigrationTarget([far], NEED, 0.5).outcome).toBe('refuse');
});

// Guards against keeping a short request from an engine whose memory fills up only after it ends.
test('the growth of others counts little for a short request', () => {
  const growing = createCandidate('growing', { heldTokens: 9_000, finalTokens: 30_000 });
  const steady = createCandidate('steady', { heldTokens: 15_000, finalTokens: 15_000 });
  const chooseFor = (growthTokens: number): unknown =>
    choosePlacement([growing, steady], { ...NEED, knownTokens: 2_000, growthTokens }, 0.5);
  expect(chooseFor(16)).toMatchObject({ endpointId: 'growing' });
  expect(chooseFor(2_000)).toMatchObject({ endpointId: 'growing' });
  expect(chooseFor(16_000)).toMatchObject({ endpointId: 'steady' });
});

// Guards against a long prompt that blocks the short ones behind it in an engine's queue.
test.each([
  ['memory', { heldTokens: 33_000, finalTokens: 34_000 }],
  ['slots', { requests: 24 }],
])('waits at the node while the %s of every engine is taken', (_name, changes) => {
  const full = createCandidate('full', changes);
  expect(choosePlacement([full], NEED, 0.5, true).outcome).toBe('wait');
  expect(choosePlacement([full], NEED, 0.5).outcome).toBe('place');
  const candidates = [full, createCandidate('far', { distance: 'other-region' })];
  expect(choosePlacement(candidates, NEED, 0.5, true)).toMatchObject({ endpointId: 'far' });
});

// Guards against waiting for ever with a request that is larger than any engine's memory.
test('sends a request larger than the memory to an idle engine', () => {
  const idle = createCandidate('idle', { requests: 0, heldTokens: 0, finalTokens: 0 });
  const need = { ...NEED, knownTokens: 40_000, growthTokens: 0 };
  expect(choosePlacement([idle], need, 0.5, true).outcome).toBe('place');
});

// Guards against a backup that can't be used when its run is lost, though another engine had room.
test('a backup prefers an engine with cold quota left', () => {
  const cold = createCandidate('cold', { heldTokens: 0, finalTokens: 0, hasQuota: false });
  expect(chooseBackupEngine([cold, createCandidate('warm')], NEED)).toBe('warm');
  expect(chooseBackupEngine([cold], NEED)).toBe('cold');
});
