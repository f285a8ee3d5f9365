/**
 * In-memory revisions up to which this node's copy of each source is complete.
 */
import type { PublishedSourceName } from '../../core';
import { SourceProgress } from '../../services';

/** @internal */
export class CompleteRevisions extends SourceProgress {
  private readonly revisions = new Map<PublishedSourceName, number>();

  getCompleteRevision(source: PublishedSourceName): number | undefined {
    return this.revisions.get(source);
  }

  markComplete(source: PublishedSourceName, revision: number): void {
    this.revisions.set(source, Math.max(revision, this.revisions.get(source) ?? 0));
  }
}
