/**
 * Calls of the platform's metadata store over connections of their own.
 */
import { Agent, request } from 'undici';
import { ServingError } from '../core';
import { readBoundedText } from '../wire';
import { HEADER_NAMES } from './wireNames';

const OK = 200;
const GONE = 410;

/** Far above a page of the store, which has about a megabyte, in its longest encoding. */
const MAX_ANSWER_BYTES = 16_777_216;

/** @internal */
export interface StoreAnswer {
  readonly era: number;
  /** Undefined when that part of the history is no longer available. */
  readonly body: unknown;
}

/** A store that has never been restored may state no era, which then is 0. */
function parseEra(header: string | string[] | undefined): number {
  const era = Number(header);
  return Number.isSafeInteger(era) && era > 0 ? era : 0;
}

/** @internal */
export class StoreCalls {
  private agent = new Agent({ pipelining: 1 });

  private highestEra = 0;

  constructor(private readonly baseUrl: string) {}

  /** Highest era that any answer has shown, including errors. */
  get newestEra(): number {
    return this.highestEra;
  }

  async call(
    path: string,
    query: Readonly<Record<string, string>>,
    signal: AbortSignal,
  ): Promise<StoreAnswer> {
    try {
      const response = await request(`${this.baseUrl}${path}?${new URLSearchParams(query)}`, {
        dispatcher: this.agent,
        signal,
      });
      const era = parseEra(response.headers[HEADER_NAMES.storeEra.toLowerCase()]);
      this.highestEra = Math.max(this.highestEra, era);
      const text = await readBoundedText(response.body, MAX_ANSWER_BYTES);
      if (response.statusCode === GONE) return { era, body: undefined };
      if (response.statusCode !== OK) throw new Error(`the store returned ${response.statusCode}`);
      return { era, body: JSON.parse(text) };
    } catch (thrown) {
      // A connection that has lost a response delivers no more responses, so it is replaced.
      void this.agent.destroy();
      this.agent = new Agent({ pipelining: 1 });
      throw ServingError.from(thrown, 'endpoint-failed');
    }
  }
}
