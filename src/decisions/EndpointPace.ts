/**
 * How long endpoints take for a token, or for a call, learnt from the answers themselves.
 *
 * Reports and health checks say nothing of an endpoint that works slowly, so the endpoints of a
 * service are compared with each other.
 */
import type { EndpointId } from '../core';

export const PACE_OPTIONS = {
  /** Time over which an observation loses half of its weight. */
  halfLifeMs: 2_000,
  /** Age of the last observation after which nothing is known any more, so that work returns. */
  maxAgeMs: 5_000,
  /** Observations, by weight, that a pace needs: one slow answer says nothing. */
  minObservations: 2,
  /** Multiple of the median up to which a pace comes from the load: prompts and full batches. */
  maxUsualRatio: 4,
} as const;

interface PaceRecord {
  readonly elapsedMs: number;
  readonly units: number;
  readonly observations: number;
  readonly updatedAtMs: number;
}

/** @public */
export class EndpointPace {
  private readonly records = new Map<EndpointId, PaceRecord>();

  /** @param units tokens made, or calls answered, in the elapsed time. */
  observe(endpointId: EndpointId, units: number, elapsedMs: number, nowMs: number): void {
    if (units <= 0) return;
    const before = this.records.get(endpointId);
    const kept = before ? 0.5 ** ((nowMs - before.updatedAtMs) / PACE_OPTIONS.halfLifeMs) : 0;
    this.records.set(endpointId, {
      elapsedMs: (before?.elapsedMs ?? 0) * kept + elapsedMs,
      units: (before?.units ?? 0) * kept + units,
      observations: (before?.observations ?? 0) * kept + 1,
      updatedAtMs: nowMs,
    });
  }

  /** Time for one unit in ms; undefined when too little was seen lately. */
  get(endpointId: EndpointId, nowMs: number): number | undefined {
    const record = this.records.get(endpointId);
    if (!record || nowMs - record.updatedAtMs > PACE_OPTIONS.maxAgeMs) return undefined;
    if (record.observations < PACE_OPTIONS.minObservations) return undefined;
    return record.elapsedMs / record.units;
  }

  listMeasured(nowMs: number): ReadonlyArray<EndpointId> {
    return [...this.records.keys()].filter((id) => this.get(id, nowMs) !== undefined);
  }

  /** Forgets an endpoint that has left or started anew. */
  forget(endpointId: EndpointId): void {
    this.records.delete(endpointId);
  }
}

/**
 * How many times slower an endpoint is than the median of its service; 1 unless it stands out.
 * @param pacesMs of all endpoints of the service that are known, with this one.
 */
export function computeSlowness(
  paceMs: number | undefined,
  pacesMs: ReadonlyArray<number>,
): number {
  const sorted = [...pacesMs].sort((a, b) => a - b);
  const median = sorted[Math.floor((sorted.length - 1) / 2)];
  if (paceMs === undefined || !median) return 1;
  const ratio = paceMs / median;
  return ratio > PACE_OPTIONS.maxUsualRatio ? ratio : 1;
}
