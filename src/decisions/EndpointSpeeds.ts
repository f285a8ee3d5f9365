/**
 * Lasting differences in speed between the endpoints of a service.
 *
 * The pace of an endpoint follows load and short pauses. Averaged over several seconds it tells how
 * fast the endpoint is; only a clear difference from the others counts, so that equally fast endpoints
 * are all treated alike.
 */
import type { EndpointId } from '../core';

export const SPEED_OPTIONS = {
  /** Time in which the weight of a pace halves; a pause of half a second changes little. */
  halfLifeMs: 6_000,
  /** Minimum time over which the pace of an endpoint is known. */
  minObservedMs: 6_000,
  /** Time without a pace after which an endpoint's average starts anew. */
  maxGapMs: 5_000,
  /** Ratio to the median beyond which an endpoint counts as faster or slower. */
  enterRatio: 1.8,
  /** Ratio below which it no longer does; a fast endpoint gets more load, which slows it down. */
  leaveRatio: 1.3,
  /** Ratio of loads up to which paces are compared; an idle endpoint seems faster than a full one. */
  maxLoadRatio: 2.5,
} as const;

/** Returns for each number of requests in flight whether it is close enough to the median. */
export function compareLoads(requests: ReadonlyArray<number>): ReadonlyArray<boolean> {
  const sorted = [...requests].sort((a, b) => a - b);
  const median = (sorted[Math.floor((sorted.length - 1) / 2)] ?? 0) + 1;
  return requests.map((count) => {
    const ratio = (count + 1) / median;
    return Math.max(ratio, 1 / ratio) <= SPEED_OPTIONS.maxLoadRatio;
  });
}

interface SpeedRecord {
  readonly averageMs: number;
  readonly sinceMs: number;
  readonly updatedAtMs: number;
  readonly isDifferent: boolean;
}

/** @public */
export class EndpointSpeeds {
  private readonly records = new Map<EndpointId, SpeedRecord>();

  /** @param paceMs recent time per token or call, as all nodes have measured it. */
  observe(endpointId: EndpointId, paceMs: number, nowMs: number): void {
    const before = this.find(endpointId, nowMs);
    if (!before) {
      const start = { averageMs: paceMs, sinceMs: nowMs, updatedAtMs: nowMs, isDifferent: false };
      this.records.set(endpointId, start);
      return;
    }
    const weight = 1 - 0.5 ** ((nowMs - before.updatedAtMs) / SPEED_OPTIONS.halfLifeMs);
    const averageMs = before.averageMs + weight * (paceMs - before.averageMs);
    this.records.set(endpointId, { ...before, averageMs, updatedAtMs: nowMs });
  }

  /**
   * Returns the time that each endpoint takes for the same work, as a multiple of their median; 1
   * unless it differs clearly and lastingly.
   */
  computeTimeFactors(endpointIds: ReadonlyArray<EndpointId>, nowMs: number): ReadonlyArray<number> {
    const averagesMs = endpointIds.map((endpointId) => this.getAverageMs(endpointId, nowMs));
    const known = averagesMs.filter((averageMs) => averageMs !== undefined);
    const median = known.sort((a, b) => a - b)[Math.floor((known.length - 1) / 2)];
    return endpointIds.map((endpointId, index) => {
      const averageMs = averagesMs[index];
      if (averageMs === undefined || !median) return 1;
      return this.classify(endpointId, averageMs / median);
    });
  }

  /** Returns how many endpoints differ clearly from the others of their service now. */
  countDifferent(nowMs: number): number {
    return [...this.records.keys()].filter((id) => this.find(id, nowMs)?.isDifferent).length;
  }

  /** Removes an endpoint that has left or restarted. */
  forget(endpointId: EndpointId): void {
    this.records.delete(endpointId);
  }

  private find(endpointId: EndpointId, nowMs: number): SpeedRecord | undefined {
    const record = this.records.get(endpointId);
    if (!record || nowMs - record.updatedAtMs > SPEED_OPTIONS.maxGapMs) return undefined;
    return record;
  }

  private getAverageMs(endpointId: EndpointId, nowMs: number): number | undefined {
    const record = this.find(endpointId, nowMs);
    if (!record || record.updatedAtMs - record.sinceMs < SPEED_OPTIONS.minObservedMs) {
      return undefined;
    }
    return record.averageMs;
  }

  private classify(endpointId: EndpointId, ratio: number): number {
    const record = this.records.get(endpointId);
    if (!record) return 1;
    const { enterRatio, leaveRatio } = SPEED_OPTIONS;
    const isDifferent = Math.max(ratio, 1 / ratio) > (record.isDifferent ? leaveRatio : enterRatio);
    this.records.set(endpointId, { ...record, isDifferent });
    return isDifferent ? ratio : 1;
  }
}
