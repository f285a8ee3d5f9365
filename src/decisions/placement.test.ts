import type { EndpointId } from '../core';
import { choosePlacement, chooseMigrationTarget, type PlacementCandidate } from './placement';

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
    hasConnection: true,
    ...changes,
  };
}

function choose(candidates: ReadonlyArray<PlacementCandidate>): string | undefined {
  const verdict = choosePlacement(candidates, NEED, 0.5);
  return verdict.outcome === 'place' ? verdict.endpointId : undefined;
}

// Guards against work on an endpoint that costs the caller more than another.
test.each([
  ['one with less memory needed', { heldTokens: 20_000, finalTokens: 20_000 }],
  ['one whose runs could move elsewhere', { endpointsInRegion: 1 }],
  ['one with free slots', { requests: 23 }],
  ['the nearer one', { distance: 'other-region' as const }],
  ['one that answers', { failureShare: 0.4 }],
  ['one with fewer prompts to read', { unreadTokens: 6_000 }],
  ['one that is warm', { isWarmingUp: true }],
  ['one that works at the usual pace', { slowness: 4 }],
  ['one that is not avoided', { isAvoided: true }],
  ['one with a connection left', { hasConnection: false }],
])('prefers %s', (_name, changes) => {
  expect(choose([createCandidate('worse', changes), createCandidate('better')])).toBe('better');
});

// Guards against a refusal while something can still be tried.
test('uses an avoided endpoint when there is no other', () => {
  expect(choose([createCandidate('only', { isEjected: true })])).toBe('only');
});

// Guards against a nearness that outweighs a full endpoint.
test('goes to another region when the near one is full', () => {
  const near = createCandidate('near', { heldTokens: 30_000, finalTokens: 30_000 });
  expect(choose([near, createCandidate('far', { distance: 'other-region' })])).toBe('far');
});

test('refuses without candidates', () => {
  expect(choosePlacement([], NEED, 0).outcome).toBe('refuse');
  expect(chooseMigrationTarget([], NEED, 0).outcome).toBe('refuse');
});

// Guards against all nodes sending their runs to the emptiest engine when another one leaves.
test('spreads moved runs by room', () => {
  const candidates = [
    createCandidate('empty', { heldTokens: 0, finalTokens: 0 }),
    createCandidate('half', { heldTokens: 13_000, finalTokens: 13_000 }),
    createCandidate('full', { heldTokens: 34_000, finalTokens: 34_000 }),
  ];
  const drawn = Array.from({ length: 1_000 }, (_, index) => {
    const verdict = chooseMigrationTarget(candidates, NEED, index / 1_000);
    return verdict.outcome === 'place' ? verdict.endpointId : '';
  });
  const share = (id: string): number => drawn.filter((found) => found === id).length / drawn.length;
  expect(share('empty')).toBeGreaterThan(0.5);
  expect(share('half')).toBeGreaterThan(0.2);
  expect(share('full')).toBeLessThan(0.05);
});

// Guards against copies over the link between regions, which hold up the others and never end.
test('moves no run to another region', () => {
  const far = createCandidate('far', { distance: 'other-region', heldTokens: 0, finalTokens: 0 });
  expect(chooseMigrationTarget([far], NEED, 0.5).outcome).toBe('refuse');
});

// Guards against short work that is kept from an engine whose memory fills only long after its end.
test('a short request sees little of the growth of others', () => {
  const growing = createCandidate('growing', { heldTokens: 9_000, finalTokens: 30_000 });
  const steady = createCandidate('steady', { heldTokens: 15_000, finalTokens: 15_000 });
  const chooseFor = (growthTokens: number): unknown =>
    choosePlacement([growing, steady], { ...NEED, knownTokens: 2_000, growthTokens }, 0.5);
  expect(chooseFor(16)).toMatchObject({ endpointId: 'growing' });
  expect(chooseFor(2_000)).toMatchObject({ endpointId: 'growing' });
  expect(chooseFor(16_000)).toMatchObject({ endpointId: 'steady' });
});

// Guards against a long prompt at the head of an engine's queue that blocks the short ones behind it.
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

// Guards against a request that waits for room which no engine can ever have.
test('sends what is larger than the memory to an idle engine', () => {
  const idle = createCandidate('idle', { requests: 0, heldTokens: 0, finalTokens: 0 });
  const need = { ...NEED, knownTokens: 40_000, growthTokens: 0 };
  expect(choosePlacement([idle], need, 0.5, true).outcome).toBe('place');
});
