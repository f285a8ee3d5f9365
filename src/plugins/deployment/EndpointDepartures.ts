/**
 * How an endpoint leaves: by its entry, by its own answers, or by the report of another node.
 *
 * An endpoint that is leaving gets no new work. When the source comes back from a copy that lists it
 * as ready, it stays out until it has registered anew. A process whose own answers said that it is
 * leaving stays out whatever the source lists.
 */
import { isEarlier, NO_POSITION, type EndpointId, type SourcePosition } from '../../core';
import { isRegisteredAnew } from '../../decisions';
import type { Kernel } from '../../kernel';
import type { KnownBackEnd } from '../../services';
import type { DeploymentEvents } from './DeploymentEvents';
import { DepartureMemory, type AnnouncedDeparture, type Departure } from './DepartureMemory';
import type { EndpointTable } from './EndpointTable';
import type { ExpiredEntries } from './ExpiredEntries';
import type { FollowedSource } from './FollowedSource';

/** @internal */
export class EndpointDepartures {
  readonly memory = new DepartureMemory();

  constructor(
    private readonly kernel: Kernel,
    private readonly events: DeploymentEvents,
    private readonly source: FollowedSource,
    private readonly table: EndpointTable,
    private readonly expired: ExpiredEntries,
  ) {}

  /** Applies the report of another node that the endpoint is leaving or gone. */
  apply(departure: Departure, reason = 'reported as leaving by another node'): void {
    const { endpointId } = departure;
    const known = this.table.find(endpointId);
    const value = this.table.getValue(endpointId);
    // The position of a missing entry is no registration, so that of the last entry counts.
    const position = value?.position ?? NO_POSITION;
    const { startedAtWallMs = 0 } = known ?? {};
    const { eraStarts } = this.memory;
    if (known && isRegisteredAnew({ startedAtWallMs, position }, departure, eraStarts)) return;
    this.memory.record(departure, this.source.newestEra);
    if (!known) return;
    if (value && departure.position.era < value.position.era) {
      this.memory.hold({ backEnd: known, value });
    }
    // An entry of a newer era that is held back doesn't raise the position of the departure.
    this.table.setPosition(endpointId, departure.position);
    if (known.leavingSinceMs !== undefined) return;
    this.expired.delete(endpointId);
    this.markLeaving(known, reason);
  }

  /**
   * Applies what a process said of itself, which says nothing of another process of the endpoint.
   * Returns whether it was new.
   */
  applyAnnounced(departure: AnnouncedDeparture, reason: string): boolean {
    if (!this.memory.recordAnnounced(departure)) return false;
    const { endpointId, startedAtWallMs } = departure;
    const known = this.table.find(endpointId);
    if (known?.startedAtWallMs !== startedAtWallMs || known.leavingSinceMs !== undefined) {
      return true;
    }
    this.expired.delete(endpointId);
    this.markLeaving(known, reason);
    return true;
  }

  /**
   * An entry that can't be read names no endpoint to use, so it counts as removed. At the position of
   * the known state it is a damaged copy of that state.
   */
  applyUnreadable(endpointId: EndpointId, position: SourcePosition): void {
    const known = this.table.find(endpointId);
    if (!isEarlier(this.table.getPosition(endpointId), position) || !known) return;
    const { startedAtWallMs } = known;
    const atMs = this.kernel.clock.nowMs();
    this.apply({ endpointId, startedAtWallMs, position, atMs }, 'entry unreadable');
  }

  markLeaving(known: KnownBackEnd, reason: string): void {
    const leaving = this.table.setLeaving(known, this.kernel.clock.nowMs());
    this.record(leaving);
    this.events.reportEndpoint(leaving, reason);
    this.events.notifyLeaving(leaving);
  }

  /** Remembers that a known endpoint is leaving, at the position of its newest change. */
  record({ endpointId, startedAtWallMs }: KnownBackEnd): void {
    const position = this.table.getPosition(endpointId);
    const atMs = this.kernel.clock.nowMs();
    this.memory.record({ endpointId, startedAtWallMs, position, atMs }, this.source.newestEra);
  }
}
