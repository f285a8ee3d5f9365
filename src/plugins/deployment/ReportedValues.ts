/**
 * The unreadable values that have been logged.
 *
 * A value is read again in full reads, in stale answers and through other nodes; it is worth one line.
 */
import { EvictingMap } from '../../core';
import type { PublishedChange } from '../../services';

type ReportedValue = Pick<
  Extract<PublishedChange, { readonly kind: 'unreadable' }>,
  'key' | 'position'
>;

/** Bounds the memory when another writer leaves new values without end. */
const MAX_VALUES = 4_096;

/** @internal */
export class ReportedValues {
  private readonly reported = new EvictingMap<string, true>(MAX_VALUES);

  /** Returns whether this revision of the value is reported for the first time. */
  add({ key, position }: ReportedValue): boolean {
    const id = `${position?.era} ${position?.revision} ${key}`;
    if (this.reported.has(id)) return false;
    this.reported.set(id, true);
    return true;
  }
}
