/**
 * Reads the configuration, the evacuations and the list of endpoints from the platform's metadata store.
 */
import * as z from 'zod';
import { NO_POSITION, ServingError, type SourcePosition } from '../core';
import {
  DeploymentSource,
  type PublishedChange,
  type PublishedChanges,
  type PublishedValue,
} from '../services';
import { StoreCalls, type StoreAnswer } from './StoreCalls';
import { decodeItem, decodeValue, getNextPageKey } from './storeItems';
import { PATHS, STORE_KEYS } from './wireNames';

const rangeSchema = z.object({
  items: z.array(z.unknown()),
  hasMore: z.boolean().default(false),
  storeRevision: z.int().nonnegative(),
});

const watchSchema = z.object({
  events: z.array(z.unknown()),
  storeRevision: z.int().nonnegative(),
});

/** Names no entry, for calls that ask only for the revision. */
const NO_ENTRY_PREFIX = `${STORE_KEYS.endpointPrefix}/`;

function toChanges({ era, body }: StoreAnswer): PublishedChanges | undefined {
  if (body === undefined) return undefined;
  const { events, storeRevision } = watchSchema.parse(body);
  const changes = events.flatMap((event) => decodeItem(event, era));
  return { changes, position: { era, revision: storeRevision } };
}

/** @internal */
export class StoreSource extends DeploymentSource {
  private readonly calls: StoreCalls;

  /** A failure replaces all connections, which would end a watch that waits on one of them. */
  private readonly historyCalls: StoreCalls;

  constructor(baseUrl: string) {
    super();
    this.calls = new StoreCalls(baseUrl);
    this.historyCalls = new StoreCalls(baseUrl);
  }

  get newestEra(): number {
    return Math.max(this.calls.newestEra, this.historyCalls.newestEra);
  }

  decode(value: PublishedValue): PublishedChange | undefined {
    return decodeValue(value);
  }

  async readAll(signal: AbortSignal): Promise<PublishedChanges> {
    const changes: PublishedChange[] = [];
    // Pages are not a consistent snapshot: the watch starts at the revision of the first page, so
    // that changes between pages are not missed.
    let position: SourcePosition | undefined;
    for (const prefix of [STORE_KEYS.operatorPrefix, STORE_KEYS.endpointPrefix]) {
      let after: string | undefined;
      for (let hasMore = true; hasMore;) {
        const query = { prefix, ...(after === undefined ? {} : { after }) };
        const { era, body } = await this.calls.call(PATHS.storeRange, query, signal);
        const page = rangeSchema.parse(body);
        position ??= { era, revision: page.storeRevision };
        if (era !== position.era) {
          throw new ServingError('endpoint-failed', { detail: 'The era changed between pages.' });
        }
        changes.push(...page.items.flatMap((item) => decodeItem(item, era)));
        hasMore = page.hasMore && page.items.length > 0;
        if (hasMore) after = getNextPageKey(page.items, after);
      }
    }
    return { changes, position: position ?? NO_POSITION };
  }

  async readPosition(signal: AbortSignal): Promise<SourcePosition> {
    const query = { prefix: NO_ENTRY_PREFIX };
    const { era, body } = await this.historyCalls.call(PATHS.storeRange, query, signal);
    return { era, revision: rangeSchema.parse(body).storeRevision };
  }

  async readChanges(
    position: SourcePosition,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PublishedChanges | undefined> {
    const query = { prefix: '', after: String(position.revision), waitMs: String(waitMs) };
    return toChanges(await this.calls.call(PATHS.storeWatch, query, signal));
  }

  async readEndpointChanges(
    position: SourcePosition,
    signal: AbortSignal,
  ): Promise<PublishedChanges | undefined> {
    const after = String(position.revision);
    const query = { prefix: STORE_KEYS.endpointPrefix, after, waitMs: '0' };
    return toChanges(await this.historyCalls.call(PATHS.storeWatch, query, signal));
  }
}
