/**
 * Decodes single items of the store's answers.
 *
 * Other writers may leave anything under a key, so each item is decoded by itself: one that can't be
 * read becomes an `unreadable` change and leaves the items before and after it as they are.
 */
import * as z from 'zod';
import { describeFault, type EndpointId, type SourcePosition } from '../core';
import type { PublishedChange, PublishedValue } from '../services';
import { decodeConfiguration } from './configurationValue';
import { decodeEvacuation } from './evacuationItems';
import { decodeEndpoint, isEndpointId } from './storeValues';
import { STORE_KEYS } from './wireNames';

/** Longest part of a key that is kept for the log. */
const MAX_KEY_CHARS = 200;

const UNKNOWN_KEY = '(unknown key)';

const revisionSchema = z.int().nonnegative();

const itemSchema = z.object({ key: z.string(), value: z.string(), revision: revisionSchema });

const removalSchema = z.object({
  key: z.string(),
  revision: revisionSchema,
  deleted: z.unknown().refine(Boolean, 'has neither a value nor a mark of its deletion'),
});

const keySchema = z.object({ key: z.string() });

const revisionOnlySchema = z.object({ revision: revisionSchema });

const utf8 = new TextDecoder('utf-8', { fatal: true });

/** @throws TypeError when the value isn't base64 of UTF-8 text. */
function decodeText(value: string): string {
  const bytes = Buffer.from(value, 'base64');
  if (bytes.toString('base64') !== value) throw new TypeError('the value is not standard base64');
  return utf8.decode(bytes);
}

/** Returns undefined for a key that names no endpoint. */
function parseEndpointId(key: string): EndpointId | undefined {
  const { endpointPrefix } = STORE_KEYS;
  const id = key.startsWith(endpointPrefix) ? key.slice(endpointPrefix.length) : '';
  return isEndpointId(id) ? id : undefined;
}

function createUnreadable(raw: unknown, era: number, thrown: unknown): PublishedChange {
  const key = keySchema.safeParse(raw).data?.key ?? UNKNOWN_KEY;
  const revision = revisionOnlySchema.safeParse(raw).data?.revision;
  return {
    kind: 'unreadable',
    key: key.slice(0, MAX_KEY_CHARS),
    reason: describeFault(thrown),
    position: revision === undefined ? undefined : { era, revision },
    isConfiguration: key === STORE_KEYS.configuration,
    endpointId: parseEndpointId(key),
  };
}

function decodeWritten(value: PublishedValue): PublishedChange | undefined {
  const { key, text } = value;
  const { configuration, endpointPrefix } = STORE_KEYS;
  if (key === configuration) {
    return { kind: 'configuration', configuration: decodeConfiguration(text), value };
  }
  if (!key.startsWith(endpointPrefix)) return undefined;
  const endpoint = decodeEndpoint(key.slice(endpointPrefix.length), text);
  return {
    kind: 'endpoint',
    backEnd: endpoint.backEnd,
    value: { ...value, text: endpoint.text },
  };
}

/** Returns undefined for a key that names no endpoint. */
function decodeRemoval(key: string, position: SourcePosition): PublishedChange | undefined {
  const endpointId = parseEndpointId(key);
  return endpointId && { kind: 'endpoint-removed', endpointId, position };
}

/** Returns an `unreadable` change with the reason when decoding fails. */
function decodeSafely(
  raw: unknown,
  era: number,
  decode: () => PublishedChange | undefined,
): PublishedChange | undefined {
  try {
    return decode();
  } catch (thrown) {
    return createUnreadable(raw, era, thrown);
  }
}

/** Decodes a value that another node has relayed; undefined for a key that is not used. @internal */
export function decodeValue(value: PublishedValue): PublishedChange | undefined {
  const { era, revision } = value.position;
  return decodeSafely({ ...value, revision }, era, () => decodeWritten(value));
}

/** Decodes an item of a range or an event of a watch; empty for a key that is not used. @internal */
export function decodeItem(raw: unknown, era: number): ReadonlyArray<PublishedChange> {
  const change = decodeSafely(raw, era, () => {
    const evacuation = decodeEvacuation(raw, era);
    if (evacuation) return evacuation;
    const item = itemSchema.safeParse(raw);
    if (item.success) {
      const { key, value, revision } = item.data;
      if (key !== STORE_KEYS.configuration && !key.startsWith(STORE_KEYS.endpointPrefix)) {
        return undefined;
      }
      return decodeWritten({ key, text: decodeText(value), position: { era, revision } });
    }
    if (typeof raw === 'object' && raw !== null && 'value' in raw) throw item.error;
    const { key, revision } = removalSchema.parse(raw);
    return decodeRemoval(key, { era, revision });
  });
  return change ? [change] : [];
}

/**
 * Returns the key after which the next page begins.
 * @throws Error when no key of the page can be sent back as it is, so that the pages would repeat.
 */
export function getNextPageKey(items: ReadonlyArray<unknown>, after: string | undefined): string {
  const key = items
    .flatMap((item) => keySchema.safeParse(item).data?.key ?? [])
    .findLast((candidate) => Buffer.from(candidate).toString() === candidate);
  if (key === undefined || key === after) throw new Error('a page of the store has no next key');
  return key;
}
