/**
 * Pace of endpoints: the time per token or per call, measured on their answers.
 *
 * Load reports and health checks don't show that an endpoint is slow, so the endpoints of a service
 * are compared with each other.
 */
import type { EndpointId } from '../core';

export const PACE_OPTIONS = {
  /** Time in which the weight of an observation halves. */
  halfLifeMs: 2_000,
  /** Age of the last observation at which a pace expires, so that the endpoint is tried again. */
  maxAgeMs: 5_000,
  /** Minimum total weight of the observations; a single slow answer isn't significant. */
  minObservations: 2,
  /** Multiple of the median that load alone can cause, by prefills and full batches. */
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

  /** @param units tokens generated or calls answered in the elapsed time. */
  observe(endpointId: EndpointId, units: number, elapsedMs: number, nowMs: number): void {
    if (units <= 0) return;
    const before = this.records.get(endpointId);
    const decay = before ? 0.5 ** ((nowMs - before.updatedAtMs) / PACE_OPTIONS.halfLifeMs) : 0;
    this.records.set(endpointId, {
      elapsedMs: (before?.elapsedMs ?? 0) * decay + elapsedMs,
      units: (before?.units ?? 0) * decay + units,
      observations: (before?.observations ?? 0) * decay + 1,
      updatedAtMs: nowMs,
    });
  }

  /** Time per unit in ms; undefined without enough recent observations. */
  get(endpointId: EndpointId, nowMs: number): number | undefined {
    const record = this.records.get(endpointId);
    if (!record || nowMs - record.updatedAtMs > PACE_OPTIONS.maxAgeMs) return undefined;
    if (record.observations < PACE_OPTIONS.minObservations) return undefined;
    return record.elapsedMs / record.units;
  }

  listMeasured(nowMs: number): ReadonlyArray<EndpointId> {
    return [...this.records.keys()].filter((id) => this.get(id, nowMs) !== undefined);
  }

  /** Removes an endpoint that has left or restarted. */
  forget(endpointId: EndpointId): void {
    this.records.delete(endpointId);
  }
}

/**
 * Returns an endpoint's pace as a multiple of the median of its service; 1 unless it is an outlier.
 * @param pacesMs known paces of all endpoints of the service, including this one.
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
