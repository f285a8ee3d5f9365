import type { EndpointId } from '../core';
import { EndpointHealth, HEALTH_OPTIONS } from './EndpointHealth';

const id = 'i-1' as EndpointId;

// Guards against sending requests to an endpoint that fails all of them but passes health checks.
test('ejects after consecutive failures, for a limited time', () => {
  const health = new EndpointHealth();
  for (let failure = 0; failure < HEALTH_OPTIONS.ejectAfterFailures; failure++) {
    expect(health.isEjected(id, 0)).toBe(false);
    health.recordOutcome(id, 'failed', 0);
  }
  expect(health.isEjected(id, HEALTH_OPTIONS.baseEjectionMs - 1)).toBe(true);
  expect(health.isEjected(id, HEALTH_OPTIONS.baseEjectionMs)).toBe(false);
});

// Guards against an endpoint that stays ejected for ever.
test('no ejection exceeds the maximum', () => {
  const health = new EndpointHealth();
  for (let failure = 0; failure < 50; failure++) health.recordOutcome(id, 'failed', 0);
  expect(health.isEjected(id, HEALTH_OPTIONS.maxEjectionMs)).toBe(false);
  health.recordOutcome(id, 'answered', HEALTH_OPTIONS.maxEjectionMs);
  expect(health.isEjected(id, HEALTH_OPTIONS.maxEjectionMs)).toBe(false);
});

test('the failure share decays with time', () => {
  const health = new EndpointHealth();
  health.recordOutcome(id, 'failed', 0);
  const before = health.getFailureShare(id, 0);
  expect(health.getFailureShare(id, HEALTH_OPTIONS.halfLifeMs)).toBeCloseTo(before / 2);
});

// Guards against streams that hang on an engine that went down without closing its connections.
test('is silent only when no request in flight receives bytes', () => {
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

// Guards against sending the streams of a crashed engine back to it before it has started again.
test('ejects a crashed endpoint at once, until it has restarted', () => {
  const health = new EndpointHealth();
  health.recordCrash(id, 0);
  expect(health.isEjected(id, HEALTH_OPTIONS.maxEjectionMs - 1)).toBe(true);
  expect(health.isEjected(id, HEALTH_OPTIONS.maxEjectionMs)).toBe(false);
  health.recordCrash(id, 0);
  health.forget(id);
  expect(health.isEjected(id, 1)).toBe(false);
});
