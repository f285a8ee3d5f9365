/**
 * Positions in the history of the source.
 *
 * The source may come back from an older copy. Its revisions then go back and are given out again,
 * and its era rises, so a position is ordered by its era first.
 */

/** @public */
export interface SourcePosition {
  readonly era: number;
  /** Revision within the era; 0 before anything is known of it. */
  readonly revision: number;
}

/** Before anything is known. @public */
export const NO_POSITION: SourcePosition = { era: 0, revision: 0 };

/** Returns a negative number if the first position is earlier, a positive one if it is later. */
export function comparePositions(a: SourcePosition, b: SourcePosition): number {
  return a.era - b.era || a.revision - b.revision;
}

export function isEarlier(a: SourcePosition, b: SourcePosition): boolean {
  return comparePositions(a, b) < 0;
}

export function chooseLater(a: SourcePosition, b: SourcePosition): SourcePosition {
  return isEarlier(a, b) ? b : a;
}
