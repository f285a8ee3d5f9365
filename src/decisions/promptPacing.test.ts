import { choosePlacement } from './placement';
import { BOTH_KINDS, GOALS, playPrompts, type Kind, type Scenario } from './promptFixtures';
import {
  computeMaxPromptWaitMs,
  computePromptLimit,
  findPacingGoals,
  isPatient,
  pacePrompt,
  toRequestPriority,
  type PromptLoad,
  type PromptPacing,
} from './promptPacing';
import { createConfiguration, createRoute } from './servingFixtures';

const PACING: PromptPacing = {
  goals: GOALS,
  urgentPromptTokens: 2_500,
  isPatient: true,
  hasTimeToWait: true,
  loadAgeMs: 0,
};
const URGENT = { ...PACING, isPatient: false, hasTimeToWait: false };
const PROMPT = { prefillTokens: 3_000, tokensPerMs: 6, latencyGoalMs: 4_000 };
const IDLE: PromptLoad = { pendingPrefillTokens: 0, slowness: 1 };
const BUSY = { ...IDLE, pendingPrefillTokens: 3_000 };

const FLEET: Scenario = {
  engines: 6,
  nodes: 4,
  memoryTokens: 60_000,
  loadAgeMs: 0,
  admitsOneByOne: true,
  isPaced: false,
  shortPerSecond: 6,
  longTogether: 24,
  longIntervalMs: 4_000,
  seed: 0,
};
const SEEDS = [1, 2, 3, 4];

type Times = Readonly<Record<Kind, { readonly firstP99Ms: number; readonly onTimeShare: number }>>;

/** Means over the seeds; every stream of every scenario keeps its longest pause below the allowed one. */
function play(scenario: Scenario): Times {
  const played = SEEDS.map((seed) => playPrompts({ ...scenario, seed }));
  const describe = (kind: Kind): Times[Kind] => {
    const mean = (field: 'firstP99Ms' | 'onTimeShare'): number =>
      played.reduce((sum, figures) => sum + figures[kind][field], 0) / SEEDS.length;
    played.forEach((figures) => expect(figures[kind].steadyShare).toBe(1));
    return { firstP99Ms: mean('firstP99Ms'), onTimeShare: mean('onTimeShare') };
  };
  return { short: describe('short'), long: describe('long') };
}

// Load: 24 long prompts arrive together every 4 s, while 6 short ones a second come at any time; the
// engines prefill for nearly nine tenths of the time. Then the same with fewer prompts whose nodes know the
// loads of each other 0.7 s late, and on a single engine.
test.each([
  ['six engines', {}],
  ['old loads', { nodes: 27, loadAgeMs: 700, longTogether: 14, longIntervalMs: 3_000 }],
  ['one engine', { engines: 1, nodes: 1, shortPerSecond: 1, longTogether: 3 }],
])('both kinds begin in time on %s', (_name, changes) => {
  const without = play({ ...FLEET, ...changes });
  const paced = play({ ...FLEET, ...changes, isPaced: true });
  expect(paced.short.onTimeShare).toBeGreaterThan(without.short.onTimeShare + 0.05);
  expect(paced.short.firstP99Ms).toBeLessThan(without.short.firstP99Ms * 0.8);
  expect(paced.long.onTimeShare).toBeGreaterThanOrEqual(without.long.onTimeShare);
});

// Load: as above, at engines that prefill in order of arrival and so ignore the priority.
test('neither kind loses where engines ignore the priority', () => {
  const scenario = { ...FLEET, admitsOneByOne: false };
  const without = play(scenario);
  const paced = play({ ...scenario, isPaced: true });
  BOTH_KINDS.forEach((kind) =>
    expect(paced[kind].onTimeShare).toBeGreaterThanOrEqual(without[kind].onTimeShare),
  );
});

// Load: prompts wait at every engine.
test('a patient prompt waits and an urgent one does not', () => {
  const candidates = [BUSY, { ...BUSY, pendingPrefillTokens: 9_000 }];
  expect(pacePrompt(candidates, { ...PROMPT, pacing: PACING }).outcome).toBe('wait');
  expect(pacePrompt(candidates, { ...PROMPT, pacing: URGENT }).outcome).toBe('start');
  expect(pacePrompt(candidates, PROMPT)).toEqual({ outcome: 'start', candidates });
});

// Guards against a refusal, or an endless wait, because of other prompts.
test('a patient prompt starts anyway when its time is over', () => {
  const pacing = { ...PACING, hasTimeToWait: false };
  const verdict = pacePrompt([BUSY], { ...PROMPT, pacing });
  expect(verdict).toEqual({ outcome: 'start', candidates: [BUSY] });
});

// Guards against a prompt larger than the limit that never starts.
test('an idle engine takes a prompt of any length', () => {
  const need = { ...PROMPT, prefillTokens: 20_000, pacing: PACING };
  const verdict = pacePrompt([BUSY, IDLE], need);
  expect(verdict).toEqual({ outcome: 'start', candidates: [IDLE] });
});

// Load: the streams of one engine are close to their longest allowed pause.
test('no patient prompt goes where streams are slow', () => {
  const slow = { ...IDLE, pendingPrefillTokens: 500, paceMs: 40 };
  const steady = { ...slow, paceMs: 15 };
  const verdict = pacePrompt([slow, steady], { ...PROMPT, pacing: PACING });
  expect(verdict).toEqual({ outcome: 'start', candidates: [steady] });
});

// Guards against a wait for prompts that have been prefilled since another node reported them.
test('old loads of others hold nobody up, own prompts do', () => {
  const need = { ...PROMPT, pacing: { ...PACING, loadAgeMs: 700 } };
  expect(pacePrompt([BUSY], need)).toEqual({ outcome: 'start', candidates: [IDLE] });
  const own = { ...BUSY, ownPendingPrefillTokens: 3_000 };
  expect(pacePrompt([own], need).outcome).toBe('wait');
});

test('the limit leaves the urgent prompt its own time', () => {
  expect(computePromptLimit(PACING, 6)).toBe(1_500 * 0.75 * 6 - 2_500);
  expect(computePromptLimit(PACING, 1)).toBe(0);
});

test('nobody waits longer than its goal allows', () => {
  expect(computeMaxPromptWaitMs(PROMPT, 4_200)).toBe(3_000 - 7_200 / 6);
  expect(computeMaxPromptWaitMs({ ...PROMPT, latencyGoalMs: 1_000 }, 4_200)).toBe(0);
});

test.each([
  ['its goal is longer', { rank: 2, latencyGoalMs: 4_000 }, true],
  ['it ranks before the urgent kind', { rank: -1, latencyGoalMs: 4_000 }, false],
  ['its goal is as short', { rank: 2, latencyGoalMs: 1_500 }, false],
])('whether a request is patient if %s', (_name, terms, expected) => {
  expect(isPatient(GOALS, terms)).toBe(expected);
});

test('the goals of a service are the shortest of its streams', () => {
  const toDesk = { delivery: 'stream', rank: 0 } as const;
  const routes = [
    createRoute({ ...toDesk, latencyGoalMs: 4_000, maxEventGapMs: 180, rank: 2 }),
    createRoute({ ...toDesk, latencyGoalMs: 1_500 }),
    createRoute({ ...toDesk, latencyGoalMs: 90, targets: [{ service: 'other', weight: 1 }] }),
    createRoute({ latencyGoalMs: 100 }),
  ];
  const engine = { memoryTokens: 1, canMigrate: false, canBackUp: false, tokensPerEvent: 4 };
  const desk = { name: 'desk', maxConnections: 1, coldRequestsPerSecond: undefined };
  const services = new Map([['desk', { ...desk, engine }]]);
  expect(findPacingGoals(createConfiguration({ routes, services }), 'desk')).toEqual(GOALS);
  expect(findPacingGoals(createConfiguration({ routes }), 'desk')).toBeUndefined();
});

// Guards against a header that engines don't know.
test.each([
  [0, 0],
  [2, 2],
  [-1, 0],
  [40, 9],
])('rank %p gives the request priority %p', (rank, priority) => {
  expect(toRequestPriority(rank)).toBe(priority);
});

// Guards against an outcome that the placer can't tell from a lack of room.
test('a placement says that it waits for prompt work', () => {
  const candidate = {
    ...BUSY,
    endpointId: 'engine-1' as Parameters<typeof choosePlacement>[0][number]['endpointId'],
    slots: 24,
    memoryTokens: 30_000,
    requests: 1,
    heldTokens: 3_000,
    finalTokens: 3_000,
    endpointsInRegion: 1,
    distance: 'same-data-centre',
    failureShare: 0,
    isWarmingUp: false,
    isEjected: false,
    timeFactor: 1,
    hasConnection: true,
    hasQuota: true,
  } as const;
  const need = { ...PROMPT, knownTokens: 3_000, growthTokens: 100 };
  const paced = choosePlacement([candidate], { ...need, pacing: PACING }, 0, true);
  expect(paced).toMatchObject({ outcome: 'wait', waitsFor: 'prompt-work' });
  expect(choosePlacement([candidate], need, 0, true).outcome).toBe('place');
});
