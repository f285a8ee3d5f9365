/**
 * Configurations for tests of decisions about forwarded requests.
 */
import {
  NOTHING_UNREADABLE,
  type CustomerId,
  type Route,
  type ServingBounds,
  type ServingConfiguration,
} from '../core';

export const BOUNDS: ServingBounds = {
  revocationWithinMs: 5_000,
  shutdownGraceMs: 8_000,
  retryShare: 0.2,
  retryAllowance: 56,
  retryWindowMs: 10_000,
  maxAddressAgeMs: 5_000,
  coldRequestFactor: 1,
  coldRequestAllowance: 0,
  evacuationWithinMs: 5_000,
};

export function createRoute(changes: Partial<Route> = {}): Route {
  return {
    name: 'lookup',
    host: 'desk.example',
    pathPrefix: '/lookup/',
    delivery: 'whole',
    isRepeatable: true,
    isResumable: false,
    answerWithinMs: 1_000,
    latencyGoalMs: 200,
    maxEventGapMs: Infinity,
    abandonedAfterMs: Infinity,
    rank: 1,
    maxEndpoints: 2,
    targets: [{ service: 'desk', weight: 1 }],
    isAnonymous: false,
    allowedRegions: undefined,
    ...changes,
  };
}

export function createConfiguration(
  changes: Partial<ServingConfiguration> = {},
): ServingConfiguration {
  return {
    version: 7,
    routes: [createRoute()],
    services: new Map([
      [
        'desk',
        {
          name: 'desk',
          maxConnections: 100,
          engine: undefined,
          coldRequestsPerSecond: undefined,
        },
      ],
    ]),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    keyHolders: new Map([
      ['key-1', { customer: 'cafe-1' as CustomerId, rank: undefined, allowedRegions: undefined }],
    ]),
    unreadable: NOTHING_UNREADABLE,
    ...changes,
  };
}
