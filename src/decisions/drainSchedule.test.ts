import { computeDrainSchedule } from './drainSchedule';

const OPTIONS = {
  drainAcceptShare: 0.3125,
  maxDrainAcceptMs: 2_500,
  answerMarginShare: 0.1,
  maxAnswerMarginMs: 600,
  exitMarginShare: 0.05,
  maxExitMarginMs: 350,
};

// Guards against a fixed time that is longer than a short grace period, and against running requests
// that are ended earlier than in the last sixth of it.
test.each([500, 1_000, 3_000, 8_000, 60_000])('steps follow within %i ms of grace', (graceMs) => {
  const schedule = computeDrainSchedule(100, graceMs, OPTIONS);
  const { acceptDeadlineMs, answerDeadlineMs, exitDeadlineMs } = schedule;
  expect(acceptDeadlineMs).toBeGreaterThan(100);
  expect(acceptDeadlineMs).toBeLessThan(100 + graceMs / 2);
  expect(answerDeadlineMs).toBeGreaterThan(100 + (graceMs * 5) / 6);
  expect(exitDeadlineMs).toBeGreaterThan(answerDeadlineMs);
  expect(exitDeadlineMs).toBeLessThan(100 + graceMs);
});
