/**
 * Reads the configuration and the list of endpoints from the platform's metadata store.
 */
import { Agent, request } from 'undici';
import * as z from 'zod';
import { ServingError } from '../core';
import {
  DeploymentSource,
  type PublishedChange,
  type PublishedChanges,
  type PublishedValue,
} from '../services';
import { decodeItem, decodeValue, getNextPageKey } from './storeItems';
import { PATHS, STORE_KEYS } from './wireNames';

const OK = 200;
const GONE = 410;

const rangeSchema = z.object({
  items: z.array(z.unknown()),
  hasMore: z.boolean().default(false),
  storeRevision: z.int().nonnegative(),
});

const watchSchema = z.object({
  events: z.array(z.unknown()),
  storeRevision: z.int().nonnegative(),
});

/** @internal */
export class StoreSource extends DeploymentSource {
  private agent = new Agent({ pipelining: 1 });

  constructor(private readonly baseUrl: string) {
    super();
  }

  decode(value: PublishedValue): PublishedChange | undefined {
    return decodeValue(value);
  }

  async readAll(signal: AbortSignal): Promise<PublishedChanges> {
    const changes: PublishedChange[] = [];
    // Pages are not a consistent snapshot: the watch starts at the revision of the first page, so
    // that changes between pages are not missed.
    let position: number | undefined;
    for (const prefix of [STORE_KEYS.configuration, STORE_KEYS.endpointPrefix]) {
      let after: string | undefined;
      for (let hasMore = true; hasMore;) {
        const query = { prefix, ...(after === undefined ? {} : { after }) };
        const page = rangeSchema.parse(await this.call(PATHS.storeRange, query, signal));
        changes.push(...page.items.flatMap(decodeItem));
        position ??= page.storeRevision;
        hasMore = page.hasMore && page.items.length > 0;
        if (hasMore) after = getNextPageKey(page.items, after);
      }
    }
    return { changes, position: position ?? 0 };
  }

  async readChanges(
    position: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PublishedChanges | undefined> {
    const query = { prefix: '', after: String(position), waitMs: String(waitMs) };
    const body = await this.call(PATHS.storeWatch, query, signal);
    if (body === undefined) return undefined;
    const { events, storeRevision } = watchSchema.parse(body);
    return { changes: events.flatMap(decodeItem), position: storeRevision };
  }

  /** Returns the response body; undefined when that part of the history is no longer available. */
  private async call(
    path: string,
    query: Readonly<Record<string, string>>,
    signal: AbortSignal,
  ): Promise<unknown> {
    try {
      const response = await request(`${this.baseUrl}${path}?${new URLSearchParams(query)}`, {
        dispatcher: this.agent,
        signal,
      });
      const text = await response.body.text();
      if (response.statusCode === GONE) return undefined;
      if (response.statusCode !== OK) throw new Error(`the store returned ${response.statusCode}`);
      return JSON.parse(text);
    } catch (thrown) {
      // A connection that has lost a response delivers no more responses, so it is replaced.
      void this.agent.destroy();
      this.agent = new Agent({ pipelining: 1 });
      throw ServingError.from(thrown, 'endpoint-failed');
    }
  }
}
