/**
 * Passive health checks of endpoints, from the outcomes of this node's own requests.
 *
 * Active health checks can succeed while requests fail, so only requests count. The share of failed
 * requests raises an endpoint's cost. Consecutive failures eject it for a time that doubles with
 * each further failure; after that, the next request shows whether it works again.
 */
import type { EndpointId } from '../core';

export const HEALTH_OPTIONS = {
  /** Weight of the newest outcome in the moving average of failures. */
  outcomeWeight: 0.12,
  /** Time in which the failure share decays by half while nothing is sent. */
  halfLifeMs: 4_000,
  /** Consecutive failures after which an endpoint is ejected. */
  ejectAfterFailures: 3,
  /** Duration of the first ejection; each further failure doubles it up to the maximum. */
  baseEjectionMs: 500,
  maxEjectionMs: 4_000,
  /** Time without a byte after which an endpoint with requests in flight counts as silent. */
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

/** This node's requests in flight at an endpoint, and when it last received bytes from there. */
interface EndpointActivity {
  readonly inFlight: number;
  readonly lastReceivedMs: number;
}

const NO_FAILURES: HealthRecord = {
  failureShare: 0,
  updatedAtMs: 0,
  consecutiveFailures: 0,
  ejectedUntilMs: -Infinity,
};

/** @public */
export class EndpointHealth {
  private readonly records = new Map<EndpointId, HealthRecord>();

  private readonly activities = new Map<EndpointId, EndpointActivity>();

  /** Counts a request in flight. Silence is measured from the first one, not while idle. */
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

  /** Records that bytes arrived from an endpoint. */
  recordReceived(endpointId: EndpointId, nowMs: number): void {
    const activity = this.activities.get(endpointId);
    if (activity) this.activities.set(endpointId, { ...activity, lastReceivedMs: nowMs });
  }

  recordEnded(endpointId: EndpointId): void {
    const activity = this.activities.get(endpointId);
    if (!activity) return;
    if (activity.inFlight <= 1) this.activities.delete(endpointId);
    else this.activities.set(endpointId, { ...activity, inFlight: activity.inFlight - 1 });
  }

  /** Whether no request in flight at the endpoint has received a byte for `silentAfterMs`. */
  isSilent(endpointId: EndpointId, nowMs: number): boolean {
    const activity = this.activities.get(endpointId);
    return activity !== undefined && nowMs - activity.lastReceivedMs > HEALTH_OPTIONS.silentAfterMs;
  }

  recordOutcome(endpointId: EndpointId, outcome: EndpointOutcome, nowMs: number): void {
    const before = this.records.get(endpointId) ?? NO_FAILURES;
    const { outcomeWeight, ejectAfterFailures, baseEjectionMs, maxEjectionMs } = HEALTH_OPTIONS;
    const hasFailed = outcome === 'failed';
    const share = this.getFailureShare(endpointId, nowMs);
    const consecutiveFailures = hasFailed ? before.consecutiveFailures + 1 : 0;
    const excessFailures = consecutiveFailures - ejectAfterFailures;
    const ejectionMs =
      excessFailures < 0 ? 0 : Math.min(maxEjectionMs, baseEjectionMs * 2 ** excessFailures);
    this.records.set(endpointId, {
      failureShare: share * (1 - outcomeWeight) + (hasFailed ? outcomeWeight : 0),
      updatedAtMs: nowMs,
      consecutiveFailures,
      ejectedUntilMs: ejectionMs > 0 ? nowMs + ejectionMs : -Infinity,
    });
  }

  /** Ejects an endpoint that has crashed, until it is known to have started again. */
  recordCrash(endpointId: EndpointId, nowMs: number): void {
    const before = this.records.get(endpointId) ?? NO_FAILURES;
    const ejectedUntilMs = nowMs + HEALTH_OPTIONS.maxEjectionMs;
    const failureShare = this.getFailureShare(endpointId, nowMs);
    this.records.set(endpointId, { ...before, failureShare, updatedAtMs: nowMs, ejectedUntilMs });
  }

  /** Decayed moving average of failures, from 0 to 1. */
  getFailureShare(endpointId: EndpointId, nowMs: number): number {
    const { failureShare, updatedAtMs } = this.records.get(endpointId) ?? NO_FAILURES;
    return failureShare * 0.5 ** ((nowMs - updatedAtMs) / HEALTH_OPTIONS.halfLifeMs);
  }

  isEjected(endpointId: EndpointId, nowMs: number): boolean {
    if (this.isSilent(endpointId, nowMs)) return true;
    return (this.records.get(endpointId) ?? NO_FAILURES).ejectedUntilMs > nowMs;
  }

  /** Removes an endpoint that has left or restarted. */
  forget(endpointId: EndpointId): void {
    this.records.delete(endpointId);
  }
}
