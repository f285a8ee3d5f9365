/**
 * The revision up to which this node's copy of each published source is complete.
 *
 * Records can arrive one by one and in any order. A read continues after the complete revision, not
 * after the highest stored one, which would skip records that were never received.
 */
import type { PublishedSourceName } from '../core';

/** @public */
export abstract class SourceProgress {
  /** Returns undefined until the copy has been complete once. */
  abstract getCompleteRevision(source: PublishedSourceName): number | undefined;

  /** Records that all records up to the revision are stored; a lower revision has no effect. */
  abstract markComplete(source: PublishedSourceName, revision: number): void;
}
