/**
 * A publisher of records that can only be read and watched.
 */
import { request } from 'undici';
import { z } from 'zod';
import {
  publishedRecordSchema,
  ServingError,
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

  constructor(protected readonly baseUrl: string) {}

  /** Reads what changed after a revision, waiting up to `waitMs` for a change. */
  abstract read(afterRevision: number, waitMs: number, signal: AbortSignal): Promise<PublishedPage>;

  protected async fetchJson<S extends z.ZodType>(
    path: string,
    schema: S,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<z.infer<S>> {
    const limit = AbortSignal.timeout(waitMs + PUBLISHED_OPTIONS.readTimeoutMs);
    const response = await request(new URL(path, this.baseUrl), {
      signal: AbortSignal.any([signal, limit]),
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new ServingError('endpoint-failed', {
        detail: `${this.name} answered ${response.statusCode}.`,
      });
    }
    return schema.parse(await response.body.json());
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

  private knownVms: ReadonlyMap<string, string> = new Map();

  /**
   * The list comes whole. VMs that are no longer in it become tombstones; an unchanged VM keeps
   * the revision at which it was first seen unchanged.
   */
  async read(afterRevision: number, waitMs: number, signal: AbortSignal): Promise<PublishedPage> {
    const path = waitMs > 0 ? `/v1/vms/watch?after=${afterRevision}&waitMs=${waitMs}` : '/v1/vms';
    const { revision, vms } = await this.fetchJson(path, vmListSchema, waitMs, signal);
    if (revision < afterRevision) return { records: [], revision: afterRevision, hasMore: false };
    const bodies = new Map(vms.map((vm) => [`vms/${vm.vmId}`, JSON.stringify(vm)]));
    const changed = [...bodies]
      .filter(([key, body]) => this.knownVms.get(key) !== body)
      .map(([key, body]) => ({ key, revision, body }));
    const removed = [...this.knownVms.keys()]
      .filter((key) => !bodies.has(key))
      .map((key) => ({ key, revision, body: null }));
    this.knownVms = bodies;
    return { records: [...changed, ...removed], revision, hasMore: false };
  }
}
