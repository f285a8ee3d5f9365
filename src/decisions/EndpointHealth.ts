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
  /** Time without a byte after which an endpoint with work under way counts as silent. */
  silentAfterMs: 1_000,
} as const;

/** @public */
export type EndpointOutcome = 'answered' | 'failed';

interface HealthRecord {
  readonly failureShare: number;
  readonly notedAtMs: number;
  readonly failuresInRow: number;
  readonly avoidUntilMs: number;
}

/** Work of this node at an endpoint and the last sign of life. */
interface Pulse {
  readonly underWay: number;
  readonly lastHeardMs: number;
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

  private readonly pulses = new Map<EndpointId, Pulse>();

  /** Notes a request on its way; the silence of an idle endpoint says nothing. */
  noteSent(endpointId: EndpointId, nowMs: number): void {
    const { underWay, lastHeardMs } = this.pulses.get(endpointId) ?? {
      underWay: 0,
      lastHeardMs: 0,
    };
    this.pulses.set(endpointId, {
      underWay: underWay + 1,
      lastHeardMs: underWay === 0 ? nowMs : lastHeardMs,
    });
  }

  /** Notes any bytes of an endpoint. */
  noteHeard(endpointId: EndpointId, nowMs: number): void {
    const pulse = this.pulses.get(endpointId);
    if (pulse) this.pulses.set(endpointId, { ...pulse, lastHeardMs: nowMs });
  }

  noteEnded(endpointId: EndpointId): void {
    const pulse = this.pulses.get(endpointId);
    if (!pulse) return;
    if (pulse.underWay <= 1) this.pulses.delete(endpointId);
    else this.pulses.set(endpointId, { ...pulse, underWay: pulse.underWay - 1 });
  }

  /** Whether nothing has come of all the work under way for a while. */
  isSilent(endpointId: EndpointId, nowMs: number): boolean {
    const pulse = this.pulses.get(endpointId);
    return pulse !== undefined && nowMs - pulse.lastHeardMs > HEALTH_OPTIONS.silentAfterMs;
  }

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
    if (this.isSilent(endpointId, nowMs)) return true;
    return (this.records.get(endpointId) ?? UNKNOWN).avoidUntilMs > nowMs;
  }

  /** Forgets an endpoint that has left or started anew. */
  forget(endpointId: EndpointId): void {
    this.records.delete(endpointId);
  }
}
