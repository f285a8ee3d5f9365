import { PREFILL_OPTIONS, PrefillSpeed } from './PrefillSpeed';

test('learns the speed under load and keeps services apart', () => {
  const speed = new PrefillSpeed();
  for (let count = 0; count < 200; count++) speed.observe('slow', 6_000, 2_000);
  expect(speed.get('slow')).toBeCloseTo(3, 1);
  expect(speed.get('other')).toBe(PREFILL_OPTIONS.initialTokensPerMs);
});

// Guards against a speed that one disturbed request throws off.
test.each([
  ['a short prompt', 100, 4_000],
  ['no delay', 6_000, 0],
])('learns nothing from %s', (_name, tokens, delayMs) => {
  const speed = new PrefillSpeed();
  speed.observe('engines', tokens, delayMs);
  expect(speed.get('engines')).toBe(PREFILL_OPTIONS.initialTokensPerMs);
});
