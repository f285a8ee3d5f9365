/**
 * Applies the entries of endpoints that the source lists, no longer lists, or has let expire.
 *
 * States older than the known one are ignored, which stale reads and other nodes may deliver. An
 * entry that may stem from an older copy of the source is held back until it is known to be new.
 */
import { isEarlier, type BackEnd, type EndpointId, type SourcePosition } from '../../core';
import type { Kernel } from '../../kernel';
import type { KnownBackEnd, PublishedValue } from '../../services';
import type { DeploymentEvents } from './DeploymentEvents';
import type { EndpointDepartures } from './EndpointDepartures';
import type { EndpointTable } from './EndpointTable';
import type { ExpiredEntries } from './ExpiredEntries';
import type { FollowedSource } from './FollowedSource';

/** @internal */
export class EndpointEntries {
  constructor(
    private readonly kernel: Kernel,
    private readonly events: DeploymentEvents,
    private readonly source: FollowedSource,
    private readonly table: EndpointTable,
    private readonly expired: ExpiredEntries,
    private readonly departures: EndpointDepartures,
  ) {}

  /** @param wasHeld whether the entry was held back, and so is part of what is known as complete. */
  apply(backEnd: BackEnd, value: PublishedValue, wasHeld: boolean): void {
    const { endpointId } = backEnd;
    const { memory } = this.departures;
    const before = this.table.find(endpointId);
    const knownPosition = this.table.getPosition(endpointId);
    if (isEarlier(value.position, knownPosition)) return;
    // Every change up to the complete position is known, so an unknown endpoint was removed by then.
    if (!before && !wasHeld && !isEarlier(this.source.completeTo, value.position)) return;
    if (memory.isSuppressed(backEnd, value.position)) {
      memory.hold({ backEnd, value });
      return;
    }
    const isRestarted = before !== undefined && before.startedAtWallMs !== backEnd.startedAtWallMs;
    const isOlderEra = knownPosition.era < value.position.era;
    if (isRestarted && isOlderEra && backEnd.startedAtWallMs < before.startedAtWallMs) return;
    memory.forget(endpointId);
    this.expired.delete(endpointId);
    const nowMs = this.kernel.clock.nowMs();
    const wasLeaving = before !== undefined && !isRestarted ? before.leavingSinceMs : undefined;
    const known: KnownBackEnd = {
      ...backEnd,
      leavingSinceMs: backEnd.isLeaving ? (wasLeaving ?? nowMs) : undefined,
      warmUpUntilMs: this.table.getWarmUpUntilMs(backEnd, nowMs),
    };
    this.table.set(known, value);
    if (!before || isRestarted || before.leavingSinceMs !== known.leavingSinceMs) {
      this.events.reportEndpoint(known, isRestarted ? 'restarted' : 'listed');
    }
    if (known.leavingSinceMs !== undefined) this.departures.record(known);
    if (before && isRestarted) this.events.notifyLeaving(before);
    else if (known.leavingSinceMs !== undefined && wasLeaving === undefined) {
      this.events.notifyLeaving(known);
    }
  }

  /** @param position of the removal, or of the full read in which the endpoint was missing. */
  remove(endpointId: EndpointId, position: SourcePosition): void {
    const { memory } = this.departures;
    memory.dropHeld(endpointId);
    const { graceUntilMs } = this.expired;
    if (this.source.isUnavailable || this.kernel.clock.nowMs() < graceUntilMs) {
      this.expire(endpointId, position, graceUntilMs);
      return;
    }
    memory.recordRemoval(endpointId, position);
    const known = this.table.raisePosition(endpointId, position);
    if (known && known.leavingSinceMs === undefined) {
      this.departures.markLeaving(known, 'entry removed');
    }
  }

  /** Keeps an endpoint whose entry is missing for the time in which it may be written again. */
  expire(
    endpointId: EndpointId,
    position: SourcePosition,
    removedAtMs = this.expired.computeGraceEndMs(),
  ): void {
    const known = this.table.raisePosition(endpointId, position);
    if (!known || known.leavingSinceMs !== undefined || this.expired.has(endpointId)) return;
    this.expired.add(endpointId, removedAtMs);
    this.events.reportEndpoint(known, 'entry expired while the source was unavailable');
  }

  /** Marks endpoints as leaving whose expired entries were not written again in time. */
  removeExpired(nowMs: number): void {
    this.expired.takeRemoved(nowMs).forEach((endpointId) => {
      const known = this.table.find(endpointId);
      if (known && known.leavingSinceMs === undefined) {
        this.departures.markLeaving(known, 'entry not renewed');
      }
    });
  }
}
