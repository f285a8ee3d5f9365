import type { EndpointId } from '../core';
import { computeSlowness, EndpointPace, PACE_OPTIONS } from './EndpointPace';

const id = 'i-1' as EndpointId;

// Guards against an old pace that keeps requests away from an endpoint for ever.
test('a pace needs two observations and expires', () => {
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

// Guards against penalising an endpoint that only prefills prompts, and against missing the slow
// one of just two endpoints.
test.each([
  ['its pace is unknown', undefined, [10, 10], 1],
  ['it is the only one', 80, [80], 1],
  ['all are slow', 80, [80, 85, 90], 1],
  ['it prefills prompts', 20, [10, 20, 10], 1],
  ['it is loaded', 70, [10, 70, 20], 1],
  ['it is slow among three', 100, [10, 100, 20], 5],
  ['it is the slow one of two', 80, [10, 80], 8],
])('slowness when %s', (_name, paceMs, pacesMs, expected) => {
  expect(computeSlowness(paceMs, pacesMs)).toBe(expected);
});
