import type { EndpointId } from '../core';
import { computeSlowness, EndpointPace, PACE_OPTIONS } from './EndpointPace';

const id = 'i-1' as EndpointId;

// Guards against a pace from long ago that keeps work away from an endpoint for ever.
test('a pace is known from two observations on and forgotten with age', () => {
  const pace = new EndpointPace();
  pace.observe(id, 4, 40, 0);
  expect(pace.get(id, 0)).toBeUndefined();
  pace.observe(id, 4, 40, 1);
  pace.observe(id, 4, 40, 2);
  expect(pace.get(id, 2)).toBeCloseTo(10);
  expect(pace.listMeasured(2)).toEqual([id]);
  expect(pace.get(id, 3 + PACE_OPTIONS.maxAgeMs)).toBeUndefined();
});

test('the newest observations count most', () => {
  const pace = new EndpointPace();
  for (let at = 0; at < 10; at++) pace.observe(id, 4, 40, at);
  for (let at = 0; at < 10; at++) pace.observe(id, 4, 320, 8_000 + at);
  expect(pace.get(id, 8_010)).toBeGreaterThan(70);
});

// Guards against work that is driven away from an endpoint which only reads prompts, and against a
// slow one that passes for usual where there are just two.
test.each([
  ['nothing is known of it', undefined, [10, 10], 1],
  ['it is alone', 80, [80], 1],
  ['all are slow', 80, [80, 85, 90], 1],
  ['it reads prompts', 20, [10, 20, 10], 1],
  ['it is loaded', 70, [10, 70, 20], 1],
  ['it is slow among three', 100, [10, 100, 20], 5],
  ['it is the slow one of two', 80, [10, 80], 8],
])('slowness when %s', (_name, paceMs, pacesMs, expected) => {
  expect(computeSlowness(paceMs, pacesMs)).toBe(expected);
});
