/**
 * The node's copy of what the platform publishes.
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
    return records.filter((offered) => {
      const held = this.records.get(offered.key);
      const joined = mergeRecords(held, offered);
      if (joined === held) return false;
      this.records.set(offered.key, joined);
      const source = getSourceOfKey(offered.key);
      this.highestRevisions.set(source, Math.max(this.getRevision(source), joined.revision));
      this.notify(joined);
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

  /** Highest revision held from a source. */
  getRevision(source: PublishedSourceName): number {
    return this.highestRevisions.get(source) ?? 0;
  }

  private notify(record: PublishedRecord): void {
    this.subscriptions
      .filter(({ prefix }) => record.key.startsWith(prefix))
      .forEach(({ listener }) => listener(record));
  }
}
