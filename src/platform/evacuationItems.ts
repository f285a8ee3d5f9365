/**
 * Decodes the keys by which the operator evacuates data centres: the presence of a key is the order,
 * whatever its value.
 */
import * as z from 'zod';
import { describeFault } from '../core';
import type { PublishedChange } from '../services';
import { STORE_KEYS } from './wireNames';

type EvacuationChange = Extract<PublishedChange, { readonly kind: 'evacuation' }>;

const itemSchema = z.object({
  key: z.string(),
  value: z.unknown().optional(),
  revision: z.int().nonnegative().optional().catch(undefined),
  deleted: z.unknown().optional(),
});

const valueSchema = z.record(z.string(), z.unknown());

/** Returns undefined for a key that names no data centre. */
function parseDataCentre(key: string): string | undefined {
  const { evacuationPrefix } = STORE_KEYS;
  return key.startsWith(evacuationPrefix) ? key.slice(evacuationPrefix.length) : undefined;
}

/** Returns why a value isn't one that an operator writes; undefined for an object in base64. */
function findFault(value: unknown): string | undefined {
  try {
    valueSchema.parse(JSON.parse(Buffer.from(z.string().parse(value), 'base64').toString('utf8')));
    return undefined;
  } catch (thrown) {
    return describeFault(thrown);
  }
}

/**
 * Returns undefined for an item with another key.
 * @throws Error when the key names no data centre. @internal
 */
export function decodeEvacuation(raw: unknown, era: number): EvacuationChange | undefined {
  const { data: item } = itemSchema.safeParse(raw);
  if (!item) return undefined;
  const dataCentre = parseDataCentre(item.key);
  if (dataCentre === undefined) return undefined;
  if (dataCentre === '') throw new Error('the key names no data centre');
  const { key, revision } = item;
  const position = revision === undefined ? undefined : { era, revision };
  const isEvacuated = !item.deleted;
  const fault = isEvacuated ? findFault(item.value) : undefined;
  return { kind: 'evacuation', key, dataCentre, isEvacuated, position, fault };
}
