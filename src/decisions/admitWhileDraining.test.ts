import { admitWhileDraining, type DrainView } from './admitWhileDraining';

const OPTIONS = {
  drainAcceptMs: 2_500,
  drainMaxTokens: 150,
  otherNodeRetryAfterMs: 20,
  noNodeRetryAfterMs: 1_000,
};

const report: DrainView = {
  delivery: 'stream',
  drainingForMs: 100,
  expectedTokens: 900,
  hasOtherNode: true,
};

// Guards against a report that is begun and cut, and against short work turned away for nothing.
test.each([
  ['a call early on', { delivery: 'whole' as const, expectedTokens: 0 }, 'admit'],
  ['a call late', { delivery: 'whole' as const, drainingForMs: 2_501 }, 'refuse'],
  ['a label early on', { expectedTokens: 12 }, 'admit'],
  ['a label late', { expectedTokens: 12, drainingForMs: 2_501 }, 'refuse'],
  ['a report', {}, 'refuse'],
])('%s', (_name, changes, expected) => {
  expect(admitWhileDraining({ ...report, ...changes }, OPTIONS).outcome).toBe(expected);
});

// Guards against callers that use up their repeats in a moment while all nodes start anew.
test('callers come back later when no other node takes them', () => {
  expect(admitWhileDraining(report, OPTIONS)).toMatchObject({ retryAfterMs: 20 });
  const alone = admitWhileDraining({ ...report, hasOtherNode: false }, OPTIONS);
  expect(alone).toMatchObject({ retryAfterMs: 1_000 });
});
