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

/** Lowest revision that was seen in each era. @public */
export type EraStarts = ReadonlyMap<number, number>;

/**
 * Whether the history up to a position is part of what all known eras share, so that a higher revision
 * is later whichever copy it comes from. An era that began from a copy has a history of its own above
 * its start.
 */
function isInSharedHistory({ era, revision }: SourcePosition, eraStarts: EraStarts): boolean {
  const isFirstEra = [...eraStarts.keys()].every((known) => known >= era);
  return isFirstEra || revision <= (eraStarts.get(era) ?? 0);
}

/**
 * Whether an entry was written after a departure, by a new process or by the same one. Within an era
 * the revision decides. Across eras a newer process does. An entry above the lowest revision seen in
 * its era was written in that era. Any other may be from a copy, of the era before or of an older one:
 * it counts as later only by a higher revision than a departure in the history that the eras share.
 */
export function isRegisteredAnew(
  entry: EndpointEvent,
  departure: EndpointEvent,
  eraStarts: EraStarts,
): boolean {
  const { era, revision } = entry.position;
  if (era === departure.position.era) return revision > departure.position.revision;
  if (entry.startedAtWallMs !== departure.startedAtWallMs) {
    return entry.startedAtWallMs > departure.startedAtWallMs;
  }
  if (era < departure.position.era) return false;
  if (revision > (eraStarts.get(era) ?? Infinity)) return true;
  return revision > departure.position.revision && isInSharedHistory(departure.position, eraStarts);
}
