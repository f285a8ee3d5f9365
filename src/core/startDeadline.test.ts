import { setTimeout as sleep } from 'node:timers/promises';
import { startDeadline } from './startDeadline';

// Guards against a deadline that is garbage-collected before it fires: only the deadline itself
// references its timer during garbage collection.
test('aborts on time despite garbage collection', async () => {
  const signals = Array.from({ length: 50 }, () => startDeadline(150).signal);
  const garbage = Array.from({ length: 60 }, () => new Float64Array(50_000));
  expect(garbage).toHaveLength(60);
  await sleep(300);
  expect(signals.every(({ aborted }) => aborted)).toBe(true);
});

test('aborts with a parent, also with one that is already aborted', () => {
  const parent = new AbortController();
  const deadline = startDeadline(60_000, parent.signal);
  expect(deadline.signal.aborted).toBe(false);
  parent.abort();
  expect(deadline.signal.aborted).toBe(true);
  expect(startDeadline(60_000, parent.signal).signal.aborted).toBe(true);
});

// Guards against a timer that delays the exit of the process.
test('does not abort after stop', async () => {
  const parent = new AbortController();
  const deadline = startDeadline(10, parent.signal);
  deadline.stop();
  parent.abort();
  await sleep(30);
  expect(deadline.signal.aborted).toBe(false);
});
