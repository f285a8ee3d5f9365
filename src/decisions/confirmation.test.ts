import { computeConfirmedAgeMs } from './confirmation';

const confirmed = { asOfMs: 900, nowMs: 1_000, wallMs: 50_000 };

// Guards against accepting a removed key after a suspension, which the monotonic clock doesn't
// count.
test.each([
  ['both clocks advance equally', 1_500, 50_500, 600],
  ['the wall clock is slightly ahead', 1_500, 50_800, 600],
  ['the machine was suspended', 1_010, 58_000, Infinity],
  ['the wall clock was set back', 1_500, 47_000, 600],
])('age when %s', (_name, nowMs, wallMs, expected) => {
  expect(computeConfirmedAgeMs(confirmed, { nowMs, wallMs }, 400)).toBe(expected);
});

test('age without a confirmation is infinite', () => {
  expect(computeConfirmedAgeMs(undefined, { nowMs: 0, wallMs: 0 }, 400)).toBe(Infinity);
});
