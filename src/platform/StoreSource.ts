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

function decodeValue(value: PublishedValue): PublishedChange | undefined {
  const { key, text } = value;
  const { configuration, endpointPrefix } = STORE_KEYS;
  if (key === configuration) {
    return { kind: 'configuration', configuration: decodeConfiguration(text), value };
  }
  if (!key.startsWith(endpointPrefix)) return undefined;
  return {
    kind: 'endpoint',
    backEnd: decodeEndpoint(key.slice(endpointPrefix.length), text),
    value,
  };
}

function decodeRemoval(key: string, revision: number): PublishedChange | undefined {
  const { endpointPrefix } = STORE_KEYS;
  if (!key.startsWith(endpointPrefix)) return undefined;
  const endpointId = decodeEndpointId(key.slice(endpointPrefix.length));
  return { kind: 'endpoint-removed', endpointId, revision };
}

/** Returns an `unreadable` change with the reason when decoding fails. */
function decodeSafely(
  key: string,
  decode: () => PublishedChange | undefined,
): PublishedChange | undefined {
  try {
    return decode();
  } catch (thrown) {
    const reason = thrown instanceof Error ? thrown.message : String(thrown);
    return { kind: 'unreadable', key, reason };
  }
}

function decodeEvent(event: StoreEvent): ReadonlyArray<PublishedChange> {
  const { key, revision } = event;
  const change = decodeSafely(key, () =>
    'value' in event
      ? decodeValue({ key, text: Buffer.from(event.value, 'base64').toString('utf8'), revision })
      : decodeRemoval(key, revision),
  );
  return change ? [change] : [];
}

/** @internal */
export class StoreSource extends DeploymentSource {
  private agent = new Agent({ pipelining: 1 });

  constructor(private readonly baseUrl: string) {
    super();
  }

  decode(value: PublishedValue): PublishedChange | undefined {
    return decodeSafely(value.key, () => decodeValue(value));
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
