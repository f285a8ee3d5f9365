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
  ejectAfterFailures: 3,
  /** First time for which it is avoided, and the longest; each further failure doubles it. */
  baseEjectionMs: 500,
  maxEjectionMs: 4_000,
  /** Time without a byte after which an endpoint with work under way counts as silent. */
  silentAfterMs: 1_000,
} as const;

/** @public */
export type EndpointOutcome = 'answered' | 'failed';

interface HealthRecord {
  readonly failureShare: number;
  readonly updatedAtMs: number;
  readonly consecutiveFailures: number;
  readonly ejectedUntilMs: number;
}

/** Work of this node at an endpoint and the last sign of life. */
interface EndpointActivity {
  readonly inFlight: number;
  readonly lastReceivedMs: number;
}

const UNKNOWN: HealthRecord = {
  failureShare: 0,
  updatedAtMs: 0,
  consecutiveFailures: 0,
  ejectedUntilMs: -Infinity,
};

/** @public */
export class EndpointHealth {
  private readonly records = new Map<EndpointId, HealthRecord>();

  private readonly activities = new Map<EndpointId, EndpointActivity>();

  /** Notes a request on its way; the silence of an idle endpoint says nothing. */
  recordSent(endpointId: EndpointId, nowMs: number): void {
    const { inFlight, lastReceivedMs } = this.activities.get(endpointId) ?? {
      inFlight: 0,
      lastReceivedMs: 0,
    };
    this.activities.set(endpointId, {
      inFlight: inFlight + 1,
      lastReceivedMs: inFlight === 0 ? nowMs : lastReceivedMs,
    });
  }

  /** Notes any bytes of an endpoint. */
  recordReceived(endpointId: EndpointId, nowMs: number): void {
    const pulse = this.activities.get(endpointId);
    if (pulse) this.activities.set(endpointId, { ...pulse, lastReceivedMs: nowMs });
  }

  recordEnded(endpointId: EndpointId): void {
    const pulse = this.activities.get(endpointId);
    if (!pulse) return;
    if (pulse.inFlight <= 1) this.activities.delete(endpointId);
    else this.activities.set(endpointId, { ...pulse, inFlight: pulse.inFlight - 1 });
  }

  /** Whether nothing has come of all the work under way for a while. */
  isSilent(endpointId: EndpointId, nowMs: number): boolean {
    const pulse = this.activities.get(endpointId);
    return pulse !== undefined && nowMs - pulse.lastReceivedMs > HEALTH_OPTIONS.silentAfterMs;
  }

  recordOutcome(endpointId: EndpointId, outcome: EndpointOutcome, nowMs: number): void {
    const before = this.records.get(endpointId) ?? UNKNOWN;
    const { outcomeWeight, ejectAfterFailures, baseEjectionMs, maxEjectionMs } = HEALTH_OPTIONS;
    const hasFailed = outcome === 'failed';
    const share = this.getFailureShare(endpointId, nowMs);
    const consecutiveFailures = hasFailed ? before.consecutiveFailures + 1 : 0;
    const beyond = consecutiveFailures - ejectAfterFailures;
    const avoidMs = beyond < 0 ? 0 : Math.min(maxEjectionMs, baseEjectionMs * 2 ** beyond);
    this.records.set(endpointId, {
      failureShare: share * (1 - outcomeWeight) + (hasFailed ? outcomeWeight : 0),
      updatedAtMs: nowMs,
      consecutiveFailures,
      ejectedUntilMs: avoidMs > 0 ? nowMs + avoidMs : -Infinity,
    });
  }

  /** From 0 to 1. */
  getFailureShare(endpointId: EndpointId, nowMs: number): number {
    const { failureShare, updatedAtMs } = this.records.get(endpointId) ?? UNKNOWN;
    return failureShare * 0.5 ** ((nowMs - updatedAtMs) / HEALTH_OPTIONS.halfLifeMs);
  }

  isEjected(endpointId: EndpointId, nowMs: number): boolean {
    if (this.isSilent(endpointId, nowMs)) return true;
    return (this.records.get(endpointId) ?? UNKNOWN).ejectedUntilMs > nowMs;
  }

  /** Forgets an endpoint that has left or started anew. */
  forget(endpointId: EndpointId): void {
    this.records.delete(endpointId);
  }
}
