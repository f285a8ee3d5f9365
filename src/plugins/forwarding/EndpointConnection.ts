/**
 * One connection to one endpoint: one request at a time, never opened a second time.
 */
import { Client, type Dispatcher } from 'undici';
import { ServingError } from '../../core';
import type { HeaderList } from '../../services';
import { ConnectionUsedError, pairHeaders, SingleConnection } from '../../wire';
import { FORWARDING_OPTIONS } from './options';

/** @internal */
export interface EndpointMessage {
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Uint8Array | AsyncIterable<Uint8Array> | undefined;
}

/** @internal */
export interface RawResponse {
  readonly status: number;
  readonly headers: HeaderList;
  /** Ends without an error only when the answer was complete. */
  readonly body: AsyncIterable<Uint8Array>;
}

const MS_PER_SECOND = 1_000;

/** Idle timeout that the endpoint names. */
function findIdleTimeoutMs(headers: HeaderList): number | undefined {
  const value = headers.find(([name]) => name.toLowerCase() === 'keep-alive')?.[1];
  const seconds = value === undefined ? undefined : /timeout=(\d+)/.exec(value)?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_SECOND;
}

/** @internal */
export class EndpointConnection {
  private readonly single = new SingleConnection(() => true, FORWARDING_OPTIONS.connectTimeoutMs);

  private readonly client: Client;

  private isClosed = false;

  private idleTimeoutMs: number = FORWARDING_OPTIONS.defaultIdleTimeoutMs;

  constructor(address: string) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: this.single.connect,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('disconnect', () => {
      this.isClosed = true;
    });
  }

  /** False once the connection has ended, whoever closed it. */
  get isOpen(): boolean {
    return !this.isClosed;
  }

  /** The error that ended it, such as a reset. The HTTP client takes one for the end of an answer. */
  get failure(): Error | undefined {
    return this.single.failure;
  }

  /** Longest idle time after which it may be used again. */
  get maxIdleMs(): number {
    return this.idleTimeoutMs;
  }

  /**
   * Sends a request and returns when the head of its answer has come.
   * @throws ServingError `endpoint-unreachable` when nothing was written, else `outcome-unknown`.
   */
  async send(message: EndpointMessage, signal: AbortSignal): Promise<RawResponse> {
    try {
      const answer = await this.client.request({
        method: message.method,
        path: message.target,
        headers: message.headers.flat(),
        body: (message.body ?? null) as Dispatcher.DispatchOptions['body'],
        signal,
        responseHeaders: 'raw',
      });
      const headers = pairHeaders(answer.headers as unknown as ReadonlyArray<string>);
      this.noteIdleTimeout(headers);
      return { status: answer.statusCode, headers, body: answer.body };
    } catch (thrown) {
      const isUnsent = !this.single.wasOpened || thrown instanceof ConnectionUsedError;
      throw new ServingError(isUnsent ? 'endpoint-unreachable' : 'outcome-unknown', {
        detail: thrown instanceof Error ? thrown.message : String(thrown),
        cause: thrown,
      });
    }
  }

  /** Closes the connection; a request that is under way fails. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.single.end();
    await this.client.destroy();
  }

  private noteIdleTimeout(headers: HeaderList): void {
    const timeoutMs = findIdleTimeoutMs(headers);
    if (timeoutMs === undefined) return;
    this.idleTimeoutMs = Math.max(0, timeoutMs - FORWARDING_OPTIONS.idleTimeoutMarginMs);
  }
}
