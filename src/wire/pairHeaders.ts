/**
 * Converts raw headers of Node.js and undici, in which names and values alternate.
 */
import type { HeaderList } from '../services';

export function pairHeaders(raw: ReadonlyArray<string>): HeaderList {
  return raw.flatMap((name, index) =>
    index % 2 === 0 ? [[name, raw[index + 1] ?? ''] as const] : [],
  );
}
