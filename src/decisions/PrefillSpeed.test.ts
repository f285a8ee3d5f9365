import { PREFILL_OPTIONS, PrefillSpeed } from './PrefillSpeed';

test('measures the speed of each service separately', () => {
  const speed = new PrefillSpeed();
  for (let count = 0; count < 200; count++) speed.observe('slow', 6_000, 2_000);
  expect(speed.get('slow')).toBeCloseTo(3, 1);
  expect(speed.get('other')).toBe(PREFILL_OPTIONS.initialTokensPerMs);
});

// Guards against distorting the speed by a request that is no measure of it.
test.each([
  ['a short prompt', 100, 4_000],
  ['no delay', 6_000, 0],
])('ignores %s', (_name, tokens, delayMs) => {
  const speed = new PrefillSpeed();
  speed.observe('engines', tokens, delayMs);
  expect(speed.get('engines')).toBe(PREFILL_OPTIONS.initialTokensPerMs);
});
