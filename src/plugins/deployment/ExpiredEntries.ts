/**
 * Entries of endpoints that expired while the source was unavailable, and when each counts as removed.
 *
 * Endpoints renew their entries at the source, so an outage of the source makes entries expire whose
 * endpoints are well. They get the full grace to be written again once the source is back.
 */
import type { Clock, EndpointId } from '../../core';
import { DEPLOYMENT_OPTIONS } from './options';

/** @internal */
export class ExpiredEntries {
  private readonly removedAtMs = new Map<EndpointId, number>();

  private lastGraceUntilMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** End of the grace after the last outage. */
  get graceUntilMs(): number {
    return this.lastGraceUntilMs;
  }

  has(endpointId: EndpointId): boolean {
    return this.removedAtMs.has(endpointId);
  }

  add(endpointId: EndpointId, removedAtMs: number): void {
    this.removedAtMs.set(endpointId, removedAtMs);
  }

  delete(endpointId: EndpointId): void {
    this.removedAtMs.delete(endpointId);
  }

  /** Returns the end of a grace that begins now. */
  computeGraceEndMs(): number {
    return this.clock.nowMs() + DEPLOYMENT_OPTIONS.expiredEntryGraceMs;
  }

  /** Gives all expired entries the full time to be written again. */
  restartGrace(): void {
    this.lastGraceUntilMs = this.computeGraceEndMs();
    this.removedAtMs.forEach((_, endpointId) =>
      this.removedAtMs.set(endpointId, this.lastGraceUntilMs),
    );
  }

  /** Returns the entries that were not written again in time, and forgets them. */
  takeRemoved(nowMs: number): ReadonlyArray<EndpointId> {
    const removed = [...this.removedAtMs]
      .filter(([, removedAtMs]) => removedAtMs <= nowMs)
      .map(([endpointId]) => endpointId);
    removed.forEach((endpointId) => this.removedAtMs.delete(endpointId));
    return removed;
  }
}
