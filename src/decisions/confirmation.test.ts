import { computeConfirmedAgeMs } from './confirmation';

const confirmed = { asOfMs: 900, nowMs: 1_000, wallMs: 50_000 };

// Guards against service with a removed key after a suspension that the monotonic clock hides.
test.each([
  ['both clocks go on', 1_500, 50_500, 600],
  ['the time of day runs a little ahead', 1_500, 50_800, 600],
  ['the machine was suspended', 1_010, 58_000, Infinity],
  ['the time of day was set back', 1_500, 47_000, 600],
])('age when %s', (_name, nowMs, wallMs, expected) => {
  expect(computeConfirmedAgeMs(confirmed, { nowMs, wallMs }, 400)).toBe(expected);
});

test('age without a confirmation is infinite', () => {
  expect(computeConfirmedAgeMs(undefined, { nowMs: 0, wallMs: 0 }, 400)).toBe(Infinity);
});
