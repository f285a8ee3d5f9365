/**
 * Digests of the published records: equal digests mean equal records.
 *
 * A digest is a sum of hashes, so a change takes only one subtraction and one addition. The records
 * are also divided into buckets with digests of their own, which narrow a difference down.
 */
import { getSourceOfKey, type PublishedRecord, type PublishedSourceName } from '../../core';
import { hashText } from '../../decisions';
import type { PublishedState } from '../../services';
import { GOSSIP_OPTIONS } from './options';

const TWO_TO_16 = 2 ** 16;
const TWO_TO_32 = 2 ** 32;
const TWO_TO_48 = 2 ** 48;

interface SourceDigest {
  readonly total: number;
  readonly buckets: ReadonlyArray<number>;
}

interface RecordHash {
  readonly short: number;
  readonly long: number;
}

const EMPTY: SourceDigest = {
  total: 0,
  buckets: new Array<number>(GOSSIP_OPTIONS.digestBuckets).fill(0),
};

const NO_HASH: RecordHash = { short: 0, long: 0 };

function computeHash({ key, revision, lastGood }: PublishedRecord): RecordHash {
  const text = `${key}\n${revision}\n${lastGood?.revision ?? 0}`;
  const short = hashText(text);
  return { short, long: short * TWO_TO_16 + (hashText(`${text}\n`) % TWO_TO_16) };
}

/** @internal */
export function getBucket(key: string): number {
  return hashText(key) % GOSSIP_OPTIONS.digestBuckets;
}

/** @internal */
export class RecordDigests {
  private readonly hashes = new Map<string, RecordHash>();

  private readonly digests = new Map<PublishedSourceName, SourceDigest>();

  private readonly keysByBucket = new Map<string, ReadonlyArray<string>>();

  constructor(published: PublishedState) {
    published.list('').forEach((record) => this.updateDigest(record));
    published.onChange('', (record) => this.updateDigest(record));
  }

  getTotal(source: PublishedSourceName): number {
    return this.getDigest(source).total;
  }

  getBuckets(source: PublishedSourceName): ReadonlyArray<number> {
    return this.getDigest(source).buckets;
  }

  listKeys(source: PublishedSourceName, bucket: number): ReadonlyArray<string> {
    return this.keysByBucket.get(`${source} ${bucket}`) ?? [];
  }

  private getDigest(source: PublishedSourceName): SourceDigest {
    return this.digests.get(source) ?? EMPTY;
  }

  private updateDigest(record: PublishedRecord): void {
    const source = getSourceOfKey(record.key);
    const bucket = getBucket(record.key);
    const before = this.hashes.get(record.key);
    const after = computeHash(record);
    this.hashes.set(record.key, after);
    const { total, buckets } = this.getDigest(source);
    const bucketBefore = buckets[bucket] ?? 0;
    this.digests.set(source, {
      total: (total - (before ?? NO_HASH).long + after.long + TWO_TO_48) % TWO_TO_48,
      buckets: buckets.with(
        bucket,
        (bucketBefore - (before ?? NO_HASH).short + after.short + TWO_TO_32) % TWO_TO_32,
      ),
    });
    if (before) return;
    const name = `${source} ${bucket}`;
    this.keysByBucket.set(name, [...this.listKeys(source, bucket), record.key]);
  }
}
