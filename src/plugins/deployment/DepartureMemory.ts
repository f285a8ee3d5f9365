/**
 * Departures of endpoints, remembered for as long as the source may come back from a copy that was
 * made before them, and entries of such a copy, which are held back.
 *
 * A departure that the source shows is ordered by its position. One that the endpoint's own answers
 * announced has none: it concerns one process, whatever the source lists for it afterwards.
 */
import {
  chooseLater,
  comparePositions,
  EvictingMap,
  isEarlier,
  NO_POSITION,
  type BackEnd,
  type EndpointId,
  type SourcePosition,
} from '../../core';
import { isRegisteredAnew, type EndpointEvent, type EraStarts } from '../../decisions';
import type { PublishedValue } from '../../services';
import { DEPLOYMENT_OPTIONS } from './options';

/** @internal */
export interface Departure extends EndpointEvent {
  readonly endpointId: EndpointId;
  readonly atMs: number;
}

/** The process of an endpoint whose answers say that it is leaving. @internal */
export interface AnnouncedDeparture {
  readonly endpointId: EndpointId;
  readonly startedAtWallMs: number;
  readonly atMs: number;
}

/** @internal */
export interface HeldEntry {
  readonly backEnd: BackEnd;
  readonly value: PublishedValue;
}

function isLater(a: EndpointEvent, b: EndpointEvent): boolean {
  const isSameEra = a.position.era === b.position.era;
  if (!isSameEra && a.startedAtWallMs !== b.startedAtWallMs) {
    return a.startedAtWallMs > b.startedAtWallMs;
  }
  return isEarlier(b.position, a.position);
}

function getProcessKey({
  endpointId,
  startedAtWallMs,
}: Pick<AnnouncedDeparture, 'endpointId' | 'startedAtWallMs'>): string {
  return `${endpointId} ${startedAtWallMs}`;
}

/** @internal */
export class DepartureMemory {
  private readonly departures = new Map<EndpointId, Departure>();

  /** By process, oldest first. */
  private readonly announced = new EvictingMap<string, AnnouncedDeparture>(
    DEPLOYMENT_OPTIONS.maxSharedDepartures,
  );

  private readonly heldEntries = new Map<EndpointId, HeldEntry>();

  /** Lowest revision seen, by era; the newest eras. */
  private lowestByEra: EraStarts = new Map();

  private contentRevision = 0;

  /** Grows with each change that other nodes have to know; 0 while the source kept its era. */
  get revision(): number {
    return this.contentRevision;
  }

  /** Lowest position that any node saw in the newest era. */
  get eraStart(): SourcePosition {
    return this.listEraStarts().at(-1) ?? NO_POSITION;
  }

  get eraStarts(): EraStarts {
    return this.lowestByEra;
  }

  /** Returns the lowest position that any node saw in each of the newest eras, oldest first. */
  listEraStarts(): ReadonlyArray<SourcePosition> {
    return [...this.lowestByEra]
      .map(([era, revision]) => ({ era, revision }))
      .sort(comparePositions);
  }

  /** Returns the departures that the source may have lost with an era, newest last. */
  listFromBefore(era: number): ReadonlyArray<Departure> {
    return [...this.departures.values()]
      .filter(({ position }) => position.era < era)
      .slice(-DEPLOYMENT_OPTIONS.maxSharedDepartures);
  }

  /** Returns the announcements of the time for which departed endpoints are kept, newest last. */
  listAnnounced(nowMs: number): ReadonlyArray<AnnouncedDeparture> {
    const sinceMs = nowMs - DEPLOYMENT_OPTIONS.departedRetentionMs;
    return this.announced
      .values()
      .filter(({ atMs }) => atMs > sinceMs)
      .slice(-DEPLOYMENT_OPTIONS.maxSharedDepartures);
  }

  has(endpointId: EndpointId): boolean {
    return this.departures.has(endpointId);
  }

  /** Records that a process announced its departure; returns whether that is new. */
  recordAnnounced(departure: AnnouncedDeparture): boolean {
    const key = getProcessKey(departure);
    if (this.announced.has(key)) return false;
    this.announced.set(key, departure);
    this.markChanged();
    return true;
  }

  isSuppressed(backEnd: BackEnd, position: SourcePosition): boolean {
    if (this.announced.has(getProcessKey(backEnd))) return true;
    const { endpointId, startedAtWallMs } = backEnd;
    const departure = this.departures.get(endpointId);
    if (!departure) return false;
    return !isRegisteredAnew({ startedAtWallMs, position }, departure, this.lowestByEra);
  }

  /** Keeps the later of two departures of an endpoint. */
  record(departure: Departure, newestEra: number): void {
    const { endpointId, position } = departure;
    const before = this.departures.get(endpointId);
    if (before && !isLater(departure, before)) return;
    this.departures.delete(endpointId);
    this.departures.set(endpointId, departure);
    if (position.era < newestEra) this.markChanged();
  }

  /** Applies a removal of an endpoint that may have departed before. */
  recordRemoval(endpointId: EndpointId, position: SourcePosition): void {
    const before = this.departures.get(endpointId);
    if (!before) return;
    this.departures.set(endpointId, {
      ...before,
      position: chooseLater(before.position, position),
    });
  }

  /** The endpoint has registered anew. */
  forget(endpointId: EndpointId): void {
    this.departures.delete(endpointId);
    this.heldEntries.delete(endpointId);
  }

  /** Keeps an entry that may be from the copy, until it is known whether it was written anew. */
  hold(entry: HeldEntry): void {
    const { endpointId } = entry.backEnd;
    const before = this.heldEntries.get(endpointId);
    if (before && isEarlier(entry.value.position, before.value.position)) return;
    this.heldEntries.set(endpointId, entry);
  }

  /** Drops held entries that are no longer published. */
  dropHeldExcept(listed: ReadonlySet<EndpointId>): void {
    [...this.heldEntries.keys()]
      .filter((endpointId) => !listed.has(endpointId))
      .forEach((endpointId) => this.dropHeld(endpointId));
  }

  dropHeld(endpointId: EndpointId): void {
    this.heldEntries.delete(endpointId);
  }

  /** Other nodes have to know of a newer era. */
  beginEra(): void {
    this.heldEntries.clear();
    this.markChanged();
  }

  /** Returns the entries that turn out to be written in the era, as a lower position was seen. */
  noteEraStart(position: SourcePosition): ReadonlyArray<HeldEntry> {
    const { era, revision } = position;
    if (revision === 0 || revision >= (this.lowestByEra.get(era) ?? Infinity)) return [];
    const starts = [...this.lowestByEra, [era, revision] as const].sort(([a], [b]) => a - b);
    this.lowestByEra = new Map(starts.slice(-DEPLOYMENT_OPTIONS.maxRememberedEras));
    if (this.contentRevision > 0) this.markChanged();
    return [...this.heldEntries.values()].filter(
      ({ backEnd, value }) => !this.isSuppressed(backEnd, value.position),
    );
  }

  /** Forgets old departures; returns the entries that were held back because of them. */
  forgetOld(nowMs: number): ReadonlyArray<HeldEntry> {
    const oldestMs = nowMs - DEPLOYMENT_OPTIONS.departureMemoryMs;
    this.announced
      .values()
      .filter(({ atMs }) => atMs < oldestMs)
      .forEach((departure) => this.announced.delete(getProcessKey(departure)));
    return [...this.departures.values()]
      .filter(({ atMs }) => atMs < oldestMs)
      .flatMap(({ endpointId }) => {
        const held = this.heldEntries.get(endpointId);
        this.forget(endpointId);
        return held ?? [];
      });
  }

  private markChanged(): void {
    this.contentRevision += 1;
  }
}
