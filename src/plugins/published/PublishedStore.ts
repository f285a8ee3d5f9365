/**
 * In-memory copy of the records that the platform publishes.
 */
import {
  getSourceOfKey,
  type Clock,
  type PublishedRecord,
  type PublishedSourceName,
} from '../../core';
import { mergeRecords } from '../../decisions';
import { PublishedState, type PublishedListener } from '../../services';

interface Subscription {
  readonly prefix: string;
  readonly listener: PublishedListener;
}

/** @internal */
export class PublishedStore extends PublishedState {
  private readonly records = new Map<string, PublishedRecord>();

  private readonly confirmedAtMs = new Map<PublishedSourceName, number>();

  private readonly highestRevisions = new Map<PublishedSourceName, number>();

  private subscriptions: ReadonlyArray<Subscription> = [];

  constructor(private readonly clock: Clock) {
    super();
  }

  get(key: string): PublishedRecord | undefined {
    return this.records.get(key);
  }

  list(prefix: string): ReadonlyArray<PublishedRecord> {
    return [...this.records.values()].filter((record) => record.key.startsWith(prefix));
  }

  merge(records: ReadonlyArray<PublishedRecord>): ReadonlyArray<PublishedRecord> {
    return records.filter((incoming) => {
      const stored = this.records.get(incoming.key);
      const merged = mergeRecords(stored, incoming);
      if (merged === stored) return false;
      this.records.set(incoming.key, merged);
      const source = getSourceOfKey(incoming.key);
      this.highestRevisions.set(source, Math.max(this.getRevision(source), merged.revision));
      this.notify(merged);
      return true;
    });
  }

  confirm(source: PublishedSourceName, ageMs: number): void {
    const confirmedAtMs = this.clock.nowMs() - ageMs;
    if (confirmedAtMs > (this.confirmedAtMs.get(source) ?? -Infinity)) {
      this.confirmedAtMs.set(source, confirmedAtMs);
    }
  }

  getConfirmedAgeMs(source: PublishedSourceName): number {
    return this.clock.nowMs() - (this.confirmedAtMs.get(source) ?? -Infinity);
  }

  onChange(prefix: string, listener: PublishedListener): void {
    this.subscriptions = [...this.subscriptions, { prefix, listener }];
  }

  /** Returns the highest revision of the stored records of a source; 0 without any. */
  getRevision(source: PublishedSourceName): number {
    return this.highestRevisions.get(source) ?? 0;
  }

  private notify(record: PublishedRecord): void {
    this.subscriptions
      .filter(({ prefix }) => record.key.startsWith(prefix))
      .forEach(({ listener }) => listener(record));
  }
}
