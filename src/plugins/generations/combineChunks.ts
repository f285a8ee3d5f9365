/**
 * Combines the chunks of a streamed completion into the one document of the completions format.
 */
import { ServingError } from '../../core';

type Json = Readonly<Record<string, unknown>>;

/** Text that arrives in parts; other members are given whole and the last one counts. */
const APPENDED: ReadonlySet<string> = new Set(['content', 'text', 'arguments', 'refusal']);

function isObject(value: unknown): value is Json {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function getIndex(item: unknown, position: number): number {
  return isObject(item) && typeof item.index === 'number' ? item.index : position;
}

function joinLists(
  before: ReadonlyArray<unknown>,
  after: ReadonlyArray<unknown>,
): ReadonlyArray<unknown> {
  const joined = [...before];
  after.forEach((item, position) => {
    const index = joined.findIndex((held, at) => getIndex(held, at) === getIndex(item, position));
    if (index < 0) joined.push(item);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    else joined[index] = joinValues('', joined[index], item);
  });
  return joined;
}

function joinValues(name: string, before: unknown, after: unknown): unknown {
  if (after === null || after === undefined) return before ?? after;
  if (typeof before === 'string' && typeof after === 'string') {
    return APPENDED.has(name) ? before + after : after;
  }
  if (Array.isArray(before) && Array.isArray(after)) return joinLists(before, after);
  if (!isObject(before) || !isObject(after)) return after;
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return Object.fromEntries(names.map((key) => [key, joinValues(key, before[key], after[key])]));
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

/** In a document the parts of a choice stand under `message`, in a chunk under `delta`. */
function renameDelta(choice: unknown): unknown {
  if (!isObject(choice) || !('delta' in choice)) return choice;
  const { delta, ...rest } = choice;
  return { ...rest, message: delta };
}

/** @internal */
export function combineChunks(chunks: ReadonlyArray<string>): Json {
  const combined = chunks
    .map(parseChunk)
    .reduce<Json>((before, chunk) => joinValues('', before, chunk) as Json, {});
  const choices = Array.isArray(combined.choices) ? combined.choices : [];
  const object = String(combined.object ?? '').replace(/\.chunk$/, '');
  return { ...combined, object, choices: choices.map(renameDelta) };
}
