/**
 * This node's copy of the records that the platform publishes.
 *
 * A record is replaced only by one with a higher revision, regardless of its origin, so that a
 * record in force never reverts to an older one.
 */
import type { PublishedRecord, PublishedSourceName } from '../core';

/** @public */
export type PublishedListener = (record: PublishedRecord) => void;

/** @public */
export abstract class PublishedState {
  abstract get(key: string): PublishedRecord | undefined;

  /** Returns the records whose key starts with the prefix, including tombstones. */
  abstract list(prefix: string): ReadonlyArray<PublishedRecord>;

  /** Applies the records that are newer than the stored ones, and returns those applied. */
  abstract merge(records: ReadonlyArray<PublishedRecord>): ReadonlyArray<PublishedRecord>;

  /**
   * Records that a node confirmed with the source, `ageMs` ago, that the records are current. Has
   * no effect if a newer confirmation is stored.
   */
  abstract confirm(source: PublishedSourceName, ageMs: number): void;

  /** Returns the age of the newest confirmation; infinite without one. */
  abstract getConfirmedAgeMs(source: PublishedSourceName): number;

  /** Calls the listener for each applied record whose key starts with the prefix. */
  abstract onChange(prefix: string, listener: PublishedListener): void;
}
