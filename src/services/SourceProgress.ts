/**
 * How far this node's copy of each published source is complete.
 *
 * Records can arrive singly and in any order. A read continues after the complete revision and not
 * after the highest one held, or records that were never received would be skipped.
 */
import type { PublishedSourceName } from '../core';

/** @public */
export abstract class SourceProgress {
  /** Undefined until the copy has been complete once. */
  abstract getCompleteRevision(source: PublishedSourceName): number | undefined;

  /** Notes that every record up to the revision is held; a lower one changes nothing. */
  abstract markComplete(source: PublishedSourceName, revision: number): void;
}
