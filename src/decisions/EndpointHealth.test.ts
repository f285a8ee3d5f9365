import type { EndpointId } from '../core';
import { EndpointHealth, HEALTH_OPTIONS } from './EndpointHealth';

const id = 'i-1' as EndpointId;

// Guards against new work for an endpoint that fails everything while its health check is good.
test('avoids after failures in a row, and lets go', () => {
  const health = new EndpointHealth();
  for (let failure = 0; failure < HEALTH_OPTIONS.ejectAfterFailures; failure++) {
    expect(health.isEjected(id, 0)).toBe(false);
    health.recordOutcome(id, 'failed', 0);
  }
  expect(health.isEjected(id, HEALTH_OPTIONS.baseEjectionMs - 1)).toBe(true);
  expect(health.isEjected(id, HEALTH_OPTIONS.baseEjectionMs)).toBe(false);
});

// Guards against an endpoint that is never used again.
test('is never avoided longer than the longest time', () => {
  const health = new EndpointHealth();
  for (let failure = 0; failure < 50; failure++) health.recordOutcome(id, 'failed', 0);
  expect(health.isEjected(id, HEALTH_OPTIONS.maxEjectionMs)).toBe(false);
  health.recordOutcome(id, 'answered', HEALTH_OPTIONS.maxEjectionMs);
  expect(health.isEjected(id, HEALTH_OPTIONS.maxEjectionMs)).toBe(false);
});

test('forgets failures with time', () => {
  const health = new EndpointHealth();
  health.recordOutcome(id, 'failed', 0);
  const before = health.getFailureShare(id, 0);
  expect(health.getFailureShare(id, HEALTH_OPTIONS.halfLifeMs)).toBeCloseTo(before / 2);
});

// Guards against streams that stand still on an engine that went dark without closing anything.
test('counts as silent only when all the work there brings nothing', () => {
  const health = new EndpointHealth();
  const { silentAfterMs } = HEALTH_OPTIONS;
  expect(health.isSilent(id, silentAfterMs * 2)).toBe(false);
  health.recordSent(id, 0);
  health.recordSent(id, 500);
  health.recordReceived(id, 600);
  expect(health.isSilent(id, 600 + silentAfterMs)).toBe(false);
  expect(health.isSilent(id, 601 + silentAfterMs)).toBe(true);
  expect(health.isEjected(id, 601 + silentAfterMs)).toBe(true);
  health.recordEnded(id);
  health.recordReceived(id, 3_000);
  expect(health.isSilent(id, 3_100)).toBe(false);
  health.recordEnded(id);
  expect(health.isSilent(id, 60_000)).toBe(false);
});
