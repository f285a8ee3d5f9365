import { admitWhileDraining, type DrainView } from './admitWhileDraining';

const OPTIONS = {
  drainAcceptMs: 2_500,
  drainMaxTokens: 150,
  otherNodeRetryAfterMs: 20,
  noNodeRetryAfterMs: 1_000,
};

const longGeneration: DrainView = {
  delivery: 'stream',
  drainingForMs: 100,
  expectedTokens: 900,
  hasOtherNode: true,
};

// Guards against starting a long generation that the shutdown cuts off, and refusing short requests
// that would finish in time.
test.each([
  ['a call early in the drain', { delivery: 'whole' as const, expectedTokens: 0 }, 'admit'],
  ['a call late in the drain', { delivery: 'whole' as const, drainingForMs: 2_501 }, 'refuse'],
  ['a short generation early in the drain', { expectedTokens: 12 }, 'admit'],
  ['a short generation late in the drain', { expectedTokens: 12, drainingForMs: 2_501 }, 'refuse'],
  ['a long generation', {}, 'refuse'],
])('%s', (_name, changes, expected) => {
  expect(admitWhileDraining({ ...longGeneration, ...changes }, OPTIONS).outcome).toBe(expected);
});

// Guards against callers that use up their retries at once while all nodes restart.
test('the retry delay is longer when no other node accepts callers', () => {
  expect(admitWhileDraining(longGeneration, OPTIONS)).toMatchObject({ retryAfterMs: 20 });
  const alone = admitWhileDraining({ ...longGeneration, hasOtherNode: false }, OPTIONS);
  expect(alone).toMatchObject({ retryAfterMs: 1_000 });
});
