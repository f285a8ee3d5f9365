/**
 * Fetches the records that a neighbour has and this node lacks.
 *
 * Comparing the bucket digests finds the buckets that differ, comparing the versions in those buckets
 * finds the records, and only these records are transferred.
 */
import type { z } from 'zod';
import { publishedRecordSchema, type PublishedSourceName, type VmId } from '../../core';
import type { Kernel } from '../../kernel';
import { PeerHandler, Peers, type Peer, type PublishedState } from '../../services';
import {
  getPackedBytes,
  pullDigestsSchema,
  pullRequestSchema,
  pullVersionsSchema,
  type PullRequest,
} from '../../wire';
import { GOSSIP_OPTIONS } from './options';
import type { RecordDigests } from './RecordDigests';
import type { RecordPush } from './RecordPush';

type Version = z.infer<typeof pullVersionsSchema>[number];

const PULL_TYPE = 'published.pull';

function splitList<T>(list: ReadonlyArray<T>, size: number): ReadonlyArray<ReadonlyArray<T>> {
  return Array.from({ length: Math.ceil(list.length / size) }, (_, index) =>
    list.slice(index * size, (index + 1) * size),
  );
}

/** @internal */
export class PullHandler extends PeerHandler<typeof pullRequestSchema> {
  readonly type = PULL_TYPE;

  readonly schema = pullRequestSchema;

  constructor(
    private readonly published: PublishedState,
    private readonly digests: RecordDigests,
  ) {
    super();
  }

  async handle(_from: Peer, request: PullRequest): Promise<unknown> {
    if (request.ask === 'digests') return this.digests.getBuckets(request.source);
    if (request.ask === 'versions') {
      return request.buckets
        .flatMap((bucket) => this.digests.listKeys(request.source, bucket))
        .map((key): Version => {
          const record = this.published.get(key);
          return [key, record?.revision ?? 0, record?.lastGood?.revision ?? 0];
        });
    }
    return this.listRecords(request.keys);
  }

  /** Returns as many records as fit, but at least one, so that a pull always makes progress. */
  private listRecords(keys: ReadonlyArray<string>): ReadonlyArray<unknown> {
    const records: unknown[] = [];
    let bytes = 0;
    for (const key of keys) {
      const record = this.published.get(key);
      if (record) {
        bytes += getPackedBytes(record);
        if (records.length > 0 && bytes > GOSSIP_OPTIONS.maxPullBytes) break;
        records.push(record);
      }
    }
    return records;
  }
}

/** @internal */
export class RecordPull {
  private readonly running = new Set<PublishedSourceName>();

  constructor(
    private readonly kernel: Kernel,
    private readonly published: PublishedState,
    private readonly digests: RecordDigests,
    private readonly push: RecordPush,
  ) {}

  /**
   * Returns whether this node now holds everything that the peer held when the pull started. Only one
   * pull runs for each source at a time.
   */
  async run(from: VmId, source: PublishedSourceName): Promise<boolean> {
    if (this.running.has(source)) return false;
    this.running.add(source);
    try {
      const buckets = await this.listDifferingBuckets(from, source);
      for (const bucketBatch of splitList(buckets, GOSSIP_OPTIONS.bucketsPerPull)) {
        const keys = await this.listMissingKeys(from, source, bucketBatch);
        const isLarge = keys.length > GOSSIP_OPTIONS.maxForwardedRecords;
        for (const keyBatch of splitList(keys, GOSSIP_OPTIONS.recordsPerPull)) {
          if (!(await this.fetchRecords(from, keyBatch, isLarge))) return false;
        }
      }
      return true;
    } finally {
      this.running.delete(source);
    }
  }

  private async listDifferingBuckets(
    from: VmId,
    source: PublishedSourceName,
  ): Promise<ReadonlyArray<number>> {
    const theirs = await this.sendRequest(from, { ask: 'digests', source }, pullDigestsSchema);
    const ours = this.digests.getBuckets(source);
    return theirs.flatMap((digest, bucket) => (digest === ours[bucket] ? [] : [bucket]));
  }

  private async listMissingKeys(
    from: VmId,
    source: PublishedSourceName,
    buckets: ReadonlyArray<number>,
  ): Promise<ReadonlyArray<string>> {
    const request = { ask: 'versions', source, buckets } as const;
    const versions = await this.sendRequest(from, request, pullVersionsSchema);
    return versions
      .filter(([key, revision, goodRevision]) => {
        const held = this.published.get(key);
        if (!held || held.revision < revision) return true;
        return held.revision === revision && (held.lastGood?.revision ?? 0) < goodRevision;
      })
      .map(([key]) => key);
  }

  private async fetchRecords(
    from: VmId,
    keys: ReadonlyArray<string>,
    isLarge: boolean,
  ): Promise<boolean> {
    let missing = keys;
    while (missing.length > 0) {
      const request = { ask: 'records', keys: missing } as const;
      const records = await this.sendRequest(from, request, publishedRecordSchema.array());
      if (records.length === 0) return false;
      if (isLarge) this.push.mergeWithoutForwarding(records);
      else this.push.mergeFrom(from, records);
      const received = new Set(records.map(({ key }) => key));
      missing = missing.filter((key) => !received.has(key));
    }
    return true;
  }

  private async sendRequest<S extends z.ZodType>(
    from: VmId,
    request: PullRequest,
    schema: S,
  ): Promise<z.infer<S>> {
    const deadlineMs = this.kernel.clock.nowMs() + GOSSIP_OPTIONS.pullTimeoutMs;
    return schema.parse(await this.kernel.get(Peers).call(from, PULL_TYPE, request, deadlineMs));
  }
}
