/**
 * A publisher of records that can only be read and watched.
 */
import { request } from 'undici';
import { z } from 'zod';
import {
  publishedRecordSchema,
  ServingError,
  startDeadline,
  vmSchema,
  type PublishedRecord,
  type PublishedSourceName,
} from '../../core';
import { PUBLISHED_OPTIONS } from './options';

/** One answer of a publisher. @internal */
export interface PublishedPage {
  readonly records: ReadonlyArray<PublishedRecord>;
  /** Revision up to which the reader is now complete. */
  readonly revision: number;
  /** Whether there is more to read at once. */
  readonly hasMore: boolean;
}

/** @internal */
export abstract class PublishedSource {
  abstract readonly name: PublishedSourceName;

  /** Whether an answer holds everything, or only what changed after a revision. */
  abstract readonly returnsSnapshot: boolean;

  constructor(protected readonly baseUrl: string) {}

  /** Reads what changed after a revision, waiting up to `waitMs` for a change. */
  abstract read(afterRevision: number, waitMs: number, signal: AbortSignal): Promise<PublishedPage>;

  protected async fetchJson<S extends z.ZodType>(
    path: string,
    schema: S,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<z.infer<S>> {
    const limit = startDeadline(waitMs + PUBLISHED_OPTIONS.readTimeoutMs, signal);
    try {
      const response = await request(new URL(path, this.baseUrl), { signal: limit.signal });
      if (response.statusCode !== 200) {
        await response.body.dump();
        throw new ServingError('endpoint-failed', {
          detail: `${this.name} answered ${response.statusCode}.`,
        });
      }
      return schema.parse(await response.body.json());
    } finally {
      limit.stop();
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
    /** Records held by this node, from whichever peer or answer they came. */
    private readonly listHeld: () => ReadonlyArray<PublishedRecord>,
  ) {
    super(baseUrl);
  }

  /**
   * The list comes whole. It is compared with the records held, so that a VM that was removed while
   * somebody else was reading becomes a tombstone too. A VM that hasn't changed keeps its revision.
   */
  async read(afterRevision: number, waitMs: number, signal: AbortSignal): Promise<PublishedPage> {
    const path = waitMs > 0 ? `/v1/vms/watch?after=${afterRevision}&waitMs=${waitMs}` : '/v1/vms';
    const { revision, vms } = await this.fetchJson(path, vmListSchema, waitMs, signal);
    // A VM that left and came back looks unchanged here; a list from between would turn it back.
    if (revision < afterRevision) return { records: [], revision, hasMore: false };
    const held = new Map(this.listHeld().map((record) => [record.key, record]));
    const bodies = new Map(vms.map((vm) => [`vms/${vm.vmId}`, JSON.stringify(vm)]));
    const changed = [...bodies]
      .filter(([key, body]) => held.get(key)?.body !== body)
      .map(([key, body]) => ({ key, revision, body }));
    const removed = [...held.values()]
      .filter(({ key, body }) => body !== null && !bodies.has(key))
      .map(({ key }) => ({ key, revision, body: null }));
    return { records: [...changed, ...removed], revision, hasMore: false };
  }
}
