/**
 * The platform's metadata store as the source of the configuration and of the list of endpoints.
 */
import { Agent, request } from 'undici';
import { z } from 'zod';
import { ServingError } from '../core';
import { DeploymentSource, type PublishedChange, type PublishedChanges } from '../services';
import { decodeConfiguration, decodeEndpoint, decodeEndpointId } from './storeValues';
import { PATHS, STORE_KEYS } from './wireNames';

const OK = 200;
const GONE = 410;

const itemSchema = z.object({ key: z.string(), value: z.string(), revision: z.number() });

const removalSchema = z.object({ key: z.string(), revision: z.number(), deleted: z.unknown() });

const rangeSchema = z.object({
  items: z.array(itemSchema),
  hasMore: z.boolean().default(false),
  storeRevision: z.number(),
});

const watchSchema = z.object({
  events: z.array(z.union([itemSchema, removalSchema])),
  storeRevision: z.number(),
});

type StoreEvent = z.infer<typeof watchSchema>['events'][number];

function decodeEvent(event: StoreEvent): ReadonlyArray<PublishedChange> {
  const { key } = event;
  const { configuration, endpointPrefix } = STORE_KEYS;
  try {
    if (key === configuration && 'value' in event) {
      const text = Buffer.from(event.value, 'base64').toString('utf8');
      return [{ kind: 'configuration', configuration: decodeConfiguration(text) }];
    }
    if (!key.startsWith(endpointPrefix)) return [];
    const id = key.slice(endpointPrefix.length);
    if (!('value' in event)) {
      return [{ kind: 'endpoint-removed', endpointId: decodeEndpointId(id) }];
    }
    const text = Buffer.from(event.value, 'base64').toString('utf8');
    return [{ kind: 'endpoint', backEnd: decodeEndpoint(id, text) }];
  } catch (thrown) {
    const reason = thrown instanceof Error ? thrown.message : String(thrown);
    return [{ kind: 'unreadable', key, reason }];
  }
}

/** @internal */
export class StoreSource extends DeploymentSource {
  private agent = new Agent({ pipelining: 1 });

  constructor(private readonly baseUrl: string) {
    super();
  }

  async readAll(signal: AbortSignal): Promise<PublishedChanges> {
    const changes: PublishedChange[] = [];
    // Pages aren't a snapshot: the watch goes on from the first, so that no change between is missed.
    let position: number | undefined;
    for (const prefix of [STORE_KEYS.configuration, STORE_KEYS.endpointPrefix]) {
      let after: string | undefined;
      for (let hasMore = true; hasMore;) {
        const query = { prefix, ...(after === undefined ? {} : { after }) };
        const page = rangeSchema.parse(await this.call(PATHS.storeRange, query, signal));
        changes.push(...page.items.flatMap(decodeEvent));
        position ??= page.storeRevision;
        after = page.items.at(-1)?.key;
        hasMore = page.hasMore && after !== undefined;
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
    return { changes: events.flatMap(decodeEvent), position: storeRevision };
  }

  /** The body of the answer; undefined for history that is gone. */
  private async call(
    path: string,
    query: Readonly<Record<string, string>>,
    signal: AbortSignal,
  ): Promise<unknown> {
    try {
      const answer = await request(`${this.baseUrl}${path}?${new URLSearchParams(query)}`, {
        dispatcher: this.agent,
        signal,
      });
      const text = await answer.body.text();
      if (answer.statusCode === GONE) return undefined;
      if (answer.statusCode !== OK) throw new Error(`the store answered ${answer.statusCode}`);
      return JSON.parse(text);
    } catch (thrown) {
      // A connection on which an answer was lost returns nothing further.
      void this.agent.destroy();
      this.agent = new Agent({ pipelining: 1 });
      const reason = thrown instanceof Error ? thrown.message : String(thrown);
      throw new ServingError('endpoint-failed', { detail: reason, cause: thrown });
    }
  }
}
