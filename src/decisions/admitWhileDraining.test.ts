import {
  admitWhileDraining,
  estimateDurationMs,
  type DrainView,
  type DurationView,
} from './admitWhileDraining';

const OPTIONS = {
  drainDurationMargin: 2,
  otherNodeRetryAfterMs: 20,
  noNodeRetryAfterMs: 1_000,
};

const repeatable: DrainView = {
  leftMs: 1_000,
  timeLimitMs: 9_000,
  expectedMs: 400,
  mayRunAgain: true,
  hasOtherNode: true,
};

// Guards against a request that the shutdown cuts off, above all one that may not be repeated, and
// against refusing what is sure to end in time.
test.each([
  ['repeatable, expected to end', {}, 'admit'],
  ['repeatable, expected to end shortly before the exit', { expectedMs: 600 }, 'refuse'],
  ['repeatable, of unknown duration', { expectedMs: undefined }, 'refuse'],
  ['repeatable, of unknown duration, sure to end', { timeLimitMs: 900 }, 'admit'],
  ['not repeatable, expected to end', { mayRunAgain: false }, 'refuse'],
  ['not repeatable, sure to end', { mayRunAgain: false, timeLimitMs: 1_000 }, 'admit'],
  ['not repeatable, limit beyond', { mayRunAgain: false, timeLimitMs: 1_001 }, 'refuse'],
  ['arrived after the end', { leftMs: 0, timeLimitMs: 0, expectedMs: 0 }, 'refuse'],
])('%s', (_name, changes, expected) => {
  expect(admitWhileDraining({ ...repeatable, ...changes }, OPTIONS).outcome).toBe(expected);
});

// Guards against callers that use up their retries at once while all nodes restart.
test('the retry delay is longer when no other node accepts callers', () => {
  const late = { ...repeatable, leftMs: 0 };
  expect(admitWhileDraining(late, OPTIONS)).toMatchObject({ retryAfterMs: 20 });
  const alone = admitWhileDraining({ ...late, hasOtherNode: false }, OPTIONS);
  expect(alone).toMatchObject({ retryAfterMs: 1_000 });
});

const call: DurationView = {
  route: { delivery: 'whole', latencyGoalMs: 500 },
  expectedTokens: undefined,
  pacesMs: [],
};
const generation: DurationView = {
  route: { delivery: 'stream', latencyGoalMs: 500 },
  expectedTokens: 100,
  pacesMs: [20, 50, 30],
};

// Guards against a duration that is taken for short because nothing is known of it.
test.each([
  ['a call without measurements', call, 500],
  ['a call at endpoints of known pace', { ...call, pacesMs: [20, 50, 30] }, 50],
  ['a generation', generation, 5_500],
  ['a generation of unknown size', { ...generation, expectedTokens: undefined }, undefined],
  ['a generation without measurements', { ...generation, pacesMs: [] }, undefined],
])('duration of %s', (_name, view, expectedMs) => {
  expect(estimateDurationMs(view)).toBe(expectedMs);
});
