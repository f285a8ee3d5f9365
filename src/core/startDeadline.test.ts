import { setTimeout as sleep } from 'node:timers/promises';
import { startDeadline } from './startDeadline';

// Guards against a deadline that is collected before its time: nothing but the deadline itself holds
// the timer while memory is collected.
test('aborts at its time although memory is collected', async () => {
  const signals = Array.from({ length: 50 }, () => startDeadline(150).signal);
  const garbage = Array.from({ length: 60 }, () => new Float64Array(50_000));
  expect(garbage).toHaveLength(60);
  await sleep(300);
  expect(signals.every(({ aborted }) => aborted)).toBe(true);
});

test('aborts with a parent, also with one that has aborted before', () => {
  const parent = new AbortController();
  const deadline = startDeadline(60_000, parent.signal);
  expect(deadline.signal.aborted).toBe(false);
  parent.abort();
  expect(deadline.signal.aborted).toBe(true);
  expect(startDeadline(60_000, parent.signal).signal.aborted).toBe(true);
});

// Guards against a timer that holds up the end of the process.
test('does not abort after it was stopped', async () => {
  const parent = new AbortController();
  const deadline = startDeadline(10, parent.signal);
  deadline.stop();
  parent.abort();
  await sleep(30);
  expect(deadline.signal.aborted).toBe(false);
});
