/**
 * Combines the chunks of a streamed completion into one document of the completions format.
 */
import { ServingError } from '../../core';

type Json = Readonly<Record<string, unknown>>;

/** Fields whose text arrives in parts and is concatenated; for others the last value counts. */
const APPENDED_FIELDS: ReadonlySet<string> = new Set(['content', 'text', 'arguments', 'refusal']);

function isObject(value: unknown): value is Json {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function getIndex(item: unknown, position: number): number {
  return isObject(item) && typeof item.index === 'number' ? item.index : position;
}

function mergeLists(
  before: ReadonlyArray<unknown>,
  after: ReadonlyArray<unknown>,
): ReadonlyArray<unknown> {
  const merged = [...before];
  after.forEach((item, position) => {
    const index = merged.findIndex(
      (existing, at) => getIndex(existing, at) === getIndex(item, position),
    );
    if (index < 0) merged.push(item);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    else merged[index] = mergeValues('', merged[index], item);
  });
  return merged;
}

function mergeValues(name: string, before: unknown, after: unknown): unknown {
  if (after === null || after === undefined) return before ?? after;
  if (typeof before === 'string' && typeof after === 'string') {
    return APPENDED_FIELDS.has(name) ? before + after : after;
  }
  if (Array.isArray(before) && Array.isArray(after)) return mergeLists(before, after);
  if (!isObject(before) || !isObject(after)) return after;
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return Object.fromEntries(names.map((key) => [key, mergeValues(key, before[key], after[key])]));
}

function parseChunk(data: string): Json {
  let chunk: unknown;
  try {
    chunk = JSON.parse(data);
  } catch (thrown) {
    throw new ServingError('endpoint-failed', {
      detail: 'The engine sent an event that is not valid JSON.',
      cause: thrown,
    });
  }
  return isObject(chunk) ? chunk : {};
}

/** Renames the `delta` of a choice, as chunks name its content, to `message` as in documents. */
function renameDelta(choice: unknown): unknown {
  if (!isObject(choice) || !('delta' in choice)) return choice;
  const { delta, ...rest } = choice;
  return { ...rest, message: delta };
}

/** @internal */
export function combineChunks(chunks: ReadonlyArray<string>): Json {
  const combined = chunks
    .map(parseChunk)
    .reduce<Json>((before, chunk) => mergeValues('', before, chunk) as Json, {});
  const choices = Array.isArray(combined.choices) ? combined.choices : [];
  const object = String(combined.object ?? '').replace(/\.chunk$/, '');
  return { ...combined, object, choices: choices.map(renameDelta) };
}
