/**
 * One connection to an endpoint. It carries one request at a time and never reconnects.
 */
import { Client, type Dispatcher } from 'undici';
import { ServingError } from '../../core';
import type { HeaderList } from '../../services';
import { checkFinalStatus, ConnectionUsedError, pairHeaders, SingleConnection } from '../../wire';
import { FORWARDING_OPTIONS } from './options';
import { probeEndpoint } from './probeEndpoint';
import type { BodyContent } from './SentBody';

/** @internal */
export interface EndpointMessage {
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: BodyContent;
  /** Called with the connection open, right before the request is written. */
  readonly markWriting?: () => void;
}

/** @internal */
export interface RawResponse {
  readonly status: number;
  readonly headers: HeaderList;
  /** Whether the connection has carried another request before. */
  readonly isOnUsedConnection: boolean;
  /** Throws if it ends before the response is complete. */
  readonly body: AsyncIterable<Uint8Array>;
}

const MS_PER_SECOND = 1_000;

/** Returns the idle timeout from the endpoint's `Keep-Alive` header. */
function parseIdleTimeoutMs(headers: HeaderList): number | undefined {
  const value = headers.find(([name]) => name.toLowerCase() === 'keep-alive')?.[1];
  const seconds = value === undefined ? undefined : /timeout=(\d+)/.exec(value)?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_SECOND;
}

/** @internal */
export class EndpointConnection {
  private readonly single = new SingleConnection(() => {
    this.markWriting?.();
    return true;
  }, FORWARDING_OPTIONS.connectTimeoutMs);

  private markWriting: (() => void) | undefined;

  private readonly client: Client;

  private isClosed = false;

  private requestCount = 0;

  private idleTimeoutMs: number = FORWARDING_OPTIONS.defaultIdleTimeoutMs;

  constructor(private readonly address: string) {
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

  /** False once either side has closed the connection. */
  get isOpen(): boolean {
    return !this.isClosed;
  }

  /**
   * Error that closed the connection, such as a reset. The HTTP client reports a reset as the end of
   * a response that has no length.
   */
  get failure(): Error | undefined {
    return this.single.failure;
  }

  /** Longest idle time after which the connection may still be reused. */
  get maxIdleMs(): number {
    return this.idleTimeoutMs;
  }

  /**
   * Sends a request and resolves when the head of the response arrives.
   * @throws ServingError `endpoint-unreachable` if nothing was written, otherwise `outcome-unknown`.
   */
  async send(message: EndpointMessage, signal: AbortSignal): Promise<RawResponse> {
    this.requestCount += 1;
    const isOnUsedConnection = this.requestCount > 1;
    this.markWriting = message.markWriting;
    if (this.single.wasOpened) this.markWriting?.();
    try {
      const response = await this.client.request({
        method: message.method,
        path: message.target,
        headers: message.headers.flat(),
        body: (message.body ?? null) as Dispatcher.DispatchOptions['body'],
        signal,
        responseHeaders: 'raw',
        highWaterMark: FORWARDING_OPTIONS.maxUnreadResponseBytes,
      });
      this.checkStatus(response);
      const headers = pairHeaders(response.headers as unknown as ReadonlyArray<string>);
      this.updateIdleTimeout(headers);
      return { status: response.statusCode, headers, isOnUsedConnection, body: response.body };
    } catch (thrown) {
      const isUnsent = !this.single.wasOpened || thrown instanceof ConnectionUsedError;
      throw new ServingError(isUnsent ? 'endpoint-unreachable' : 'outcome-unknown', {
        detail: thrown instanceof Error ? thrown.message : String(thrown),
        cause: thrown,
      });
    }
  }

  /** Whether nothing listens at the endpoint's address any more. */
  async isEndpointGone(): Promise<boolean> {
    return (await probeEndpoint(this.address)) === 'refused';
  }

  /** Closes the connection; a request in flight fails. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.single.end();
    await this.client.destroy();
  }

  private checkStatus({ statusCode, body }: Dispatcher.ResponseData): void {
    try {
      checkFinalStatus(statusCode);
    } catch (thrown) {
      // The connection is closed with the body unread, which is an error of the body.
      body.on('error', () => {});
      throw thrown;
    }
  }

  private updateIdleTimeout(headers: HeaderList): void {
    const timeoutMs = parseIdleTimeoutMs(headers);
    if (timeoutMs === undefined) return;
    this.idleTimeoutMs = Math.max(0, timeoutMs - FORWARDING_OPTIONS.idleTimeoutMarginMs);
  }
}
