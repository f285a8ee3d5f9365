/**
 * Records that the platform publishes, as this node knows them.
 *
 * A record is replaced only by one with a higher revision, wherever it comes from, so that nothing
 * in force ever reverts.
 */
import type { PublishedRecord, PublishedSourceName } from '../core';

/** @public */
export type PublishedListener = (record: PublishedRecord) => void;

/** @public */
export abstract class PublishedState {
  abstract get(key: string): PublishedRecord | undefined;

  /** Records whose key starts with the prefix, tombstones included. */
  abstract list(prefix: string): ReadonlyArray<PublishedRecord>;

  /** Takes the records that are newer than what is held and returns those taken. */
  abstract merge(records: ReadonlyArray<PublishedRecord>): ReadonlyArray<PublishedRecord>;

  /**
   * Notes that, `ageMs` ago, somebody had a current answer from the source. An older confirmation
   * than the one held changes nothing.
   */
  abstract confirm(source: PublishedSourceName, ageMs: number): void;

  /** Age of the newest confirmation; infinite when there was none. */
  abstract getConfirmedAgeMs(source: PublishedSourceName): number;

  /** Calls the listener for each record taken whose key starts with the prefix. */
  abstract onChange(prefix: string, listener: PublishedListener): void;
}
