/**
 * Clients of the platform's publishers, whose records can only be read and watched.
 */
import { request } from 'undici';
import * as z from 'zod';
import {
  publishedRecordSchema,
  ServingError,
  startDeadline,
  vmSchema,
  type PublishedRecord,
  type PublishedSourceName,
} from '../../core';
import { readBoundedText } from '../../wire';
import { PUBLISHED_OPTIONS } from './options';

/** One response of a publisher. @internal */
export interface PublishedPage {
  readonly records: ReadonlyArray<PublishedRecord>;
  /** Revision up to which the reader's copy is complete once the records are stored. */
  readonly revision: number;
  /** Whether further records can be read immediately. */
  readonly hasMore: boolean;
}

/** @internal */
export abstract class PublishedSource {
  abstract readonly name: PublishedSourceName;

  /** Whether each response contains all records rather than the changes after a revision. */
  abstract readonly returnsSnapshot: boolean;

  constructor(protected readonly baseUrl: string) {}

  /** Reads the changes after a revision, and waits up to `waitMs` for the first one. */
  abstract read(afterRevision: number, waitMs: number, signal: AbortSignal): Promise<PublishedPage>;

  protected async fetchJson<S extends z.ZodType>(
    path: string,
    schema: S,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<z.infer<S>> {
    const deadline = startDeadline(waitMs + PUBLISHED_OPTIONS.readTimeoutMs, signal);
    try {
      const response = await request(new URL(path, this.baseUrl), { signal: deadline.signal });
      if (response.statusCode !== 200) {
        await response.body.dump();
        throw new ServingError('endpoint-failed', {
          detail: `${this.name} answered ${response.statusCode}.`,
        });
      }
      const text = await readBoundedText(response.body, PUBLISHED_OPTIONS.maxAnswerBytes);
      return schema.parse(JSON.parse(text));
    } finally {
      deadline.stop();
    }
  }
}

const configurationPageSchema = z.object({
  revision: z.number().int(),
  records: z.array(publishedRecordSchema),
  more: z.boolean(),
});

/** @internal */
export class ConfigurationSource extends PublishedSource {
  readonly name = 'configuration';

  readonly returnsSnapshot = false;

  async read(afterRevision: number, waitMs: number, signal: AbortSignal): Promise<PublishedPage> {
    const query = `prefix=contracts/&after=${afterRevision}&limit=${PUBLISHED_OPTIONS.pageSize}`;
    const path = waitMs > 0 ? `/v1/watch?${query}&waitMs=${waitMs}` : `/v1/records?${query}`;
    const page = await this.fetchJson(path, configurationPageSchema, waitMs, signal);
    return { records: page.records, revision: page.revision, hasMore: page.more };
  }
}

const vmListSchema = z.object({ revision: z.number().int(), vms: z.array(vmSchema) });

/** @internal */
export class VmListSource extends PublishedSource {
  readonly name = 'vm-list';

  readonly returnsSnapshot = true;

  constructor(
    baseUrl: string,
    /** Lists the records stored by this node, whether read from the platform or sent by a peer. */
    private readonly listStored: () => ReadonlyArray<PublishedRecord>,
  ) {
    super(baseUrl);
  }

  /**
   * Reads the full list and compares it with the stored records, so that a removed VM becomes a
   * tombstone even if this node received it only from a peer. An unchanged VM keeps its revision.
   */
  async read(afterRevision: number, waitMs: number, signal: AbortSignal): Promise<PublishedPage> {
    const path = waitMs > 0 ? `/v1/vms/watch?after=${afterRevision}&waitMs=${waitMs}` : '/v1/vms';
    const { revision, vms } = await this.fetchJson(path, vmListSchema, waitMs, signal);
    // A VM that was removed and added again between two reads looks unchanged and keeps its old
    // revision, so a stale list from the time in between would remove it.
    if (revision < afterRevision) return { records: [], revision, hasMore: false };
    const stored = new Map(this.listStored().map((record) => [record.key, record]));
    const bodies = new Map(vms.map((vm) => [`vms/${vm.vmId}`, JSON.stringify(vm)]));
    const changed = [...bodies]
      .filter(([key, body]) => stored.get(key)?.body !== body)
      .map(([key, body]) => ({ key, revision, body }));
    const removed = [...stored.values()]
      .filter(({ key, body }) => body !== null && !bodies.has(key))
      .map(({ key }) => ({ key, revision, body: null }));
    return { records: [...changed, ...removed], revision, hasMore: false };
  }
}
