/**
 * What a node has learnt of endpoints from the requests that it sent them.
 *
 * Health checks can be good while requests fail, so only the requests count. A share of failures
 * raises the cost of an endpoint; a row of failures without any success keeps new work away for a
 * time that grows, after which one request may show whether it works again.
 */
import type { EndpointId } from '../core';

export const HEALTH_OPTIONS = {
  /** Weight of the newest outcome in the moving share of failures. */
  outcomeWeight: 0.12,
  /** Time over which a share of failures is forgotten by half when nothing is sent. */
  halfLifeMs: 4_000,
  /** Failures in a row after which an endpoint is avoided. */
  avoidAfterFailures: 3,
  /** First time for which it is avoided, and the longest; each further failure doubles it. */
  firstAvoidMs: 500,
  longestAvoidMs: 4_000,
} as const;

/** @public */
export type EndpointOutcome = 'answered' | 'failed';

interface HealthRecord {
  readonly failureShare: number;
  readonly notedAtMs: number;
  readonly failuresInRow: number;
  readonly avoidUntilMs: number;
}

const UNKNOWN: HealthRecord = {
  failureShare: 0,
  notedAtMs: 0,
  failuresInRow: 0,
  avoidUntilMs: -Infinity,
};

/** @public */
export class EndpointHealth {
  private readonly records = new Map<EndpointId, HealthRecord>();

  note(endpointId: EndpointId, outcome: EndpointOutcome, nowMs: number): void {
    const before = this.records.get(endpointId) ?? UNKNOWN;
    const { outcomeWeight, avoidAfterFailures, firstAvoidMs, longestAvoidMs } = HEALTH_OPTIONS;
    const hasFailed = outcome === 'failed';
    const share = this.getFailureShare(endpointId, nowMs);
    const failuresInRow = hasFailed ? before.failuresInRow + 1 : 0;
    const beyond = failuresInRow - avoidAfterFailures;
    const avoidMs = beyond < 0 ? 0 : Math.min(longestAvoidMs, firstAvoidMs * 2 ** beyond);
    this.records.set(endpointId, {
      failureShare: share * (1 - outcomeWeight) + (hasFailed ? outcomeWeight : 0),
      notedAtMs: nowMs,
      failuresInRow,
      avoidUntilMs: avoidMs > 0 ? nowMs + avoidMs : -Infinity,
    });
  }

  /** From 0 to 1. */
  getFailureShare(endpointId: EndpointId, nowMs: number): number {
    const { failureShare, notedAtMs } = this.records.get(endpointId) ?? UNKNOWN;
    return failureShare * 0.5 ** ((nowMs - notedAtMs) / HEALTH_OPTIONS.halfLifeMs);
  }

  isAvoided(endpointId: EndpointId, nowMs: number): boolean {
    return (this.records.get(endpointId) ?? UNKNOWN).avoidUntilMs > nowMs;
  }

  /** Forgets an endpoint that has left or started anew. */
  forget(endpointId: EndpointId): void {
    this.records.delete(endpointId);
  }
}
