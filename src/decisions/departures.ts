/**
 * Order of an endpoint's entry and its departure when the source has come back from an older copy,
 * which lists endpoints as ready that have left since.
 */
import type { SourcePosition } from '../core';

/** A state of an endpoint as published, or its departure. @public */
export interface EndpointEvent {
  /** Wall time at which the endpoint's process started. */
  readonly startedAtWallMs: number;
  readonly position: SourcePosition;
}

/**
 * Whether an entry was written after a departure, by a new process or by the same one. Within an era
 * the revision decides. Across eras a newer process does, as revisions are comparable only if both
 * are in the history that the eras share. An entry with a higher revision than the departure counts
 * as later; one above the lowest revision seen in its era was written in that era; any other may be
 * from the copy.
 * @param eraStart lowest position seen in the newest era.
 */
export function isRegisteredAnew(
  entry: EndpointEvent,
  departure: EndpointEvent,
  eraStart: SourcePosition,
): boolean {
  const { era, revision } = entry.position;
  if (era === departure.position.era) return revision > departure.position.revision;
  if (entry.startedAtWallMs !== departure.startedAtWallMs) {
    return entry.startedAtWallMs > departure.startedAtWallMs;
  }
  if (era < departure.position.era) return false;
  if (revision > departure.position.revision) return true;
  return era === eraStart.era && revision > eraStart.revision;
}
