/**
 * Configurations as the operator writes them.
 */
/* eslint-disable import-x/extensions -- modules of Node.js whose steps follow each other */
import { HOST, KEY } from './names.mjs';

/** A configuration with one route of each kind. */
export function createConfiguration(changes = {}) {
  const shared = { host: HOST, timeoutMs: 8_000, latencyGoalMs: 1_500, priority: 1 };
  return {
    version: 5,
    routes: [
      {
        ...shared,
        name: 'status',
        prefix: '/status/',
        kind: 'safe',
        service: 'cupledger',
        maxAttempts: 2,
        latencyGoalMs: 200,
        timeoutMs: 1_000,
      },
      {
        ...shared,
        name: 'credit',
        prefix: '/credit/',
        kind: 'unsafe',
        service: 'cupledger',
        maxAttempts: 1,
        latencyGoalMs: 200,
        timeoutMs: 1_000,
      },
      {
        ...shared,
        name: 'summary',
        prefix: '/summary/',
        kind: 'streaming',
        service: 'vane-writers',
        maxAttempts: 1,
        timeoutMs: 39_000,
        gapTargetMs: 180,
        sticky: true,
      },
      {
        ...shared,
        name: 'label',
        prefix: '/label/',
        kind: 'streaming',
        service: 'vane-writers',
        maxAttempts: 2,
        streamResume: true,
        gapTargetMs: 180,
        sticky: true,
      },
    ],
    services: [
      { name: 'cupledger', maxConnections: 110 },
      {
        name: 'vane-writers',
        maxConnections: 282,
        engine: { kvCapacity: 34_365, stride: 4, moves: true, backups: true },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
    tenants: [{ name: 'cafe-1', apiKeys: [KEY] }],
    ...changes,
  };
}
