/**
 * Response of an endpoint. Its connection is released once the body has been read to the end.
 */
import { ServingError } from '../../core';
import type { HeaderList } from '../../services';
import type { EndpointConnection, RawResponse } from './EndpointConnection';

/** The pool that a connection returns to after a response. @internal */
export abstract class ConnectionPool {
  /** @param isReusable whether the response was read to its end. */
  abstract release(connection: EndpointConnection, isReusable: boolean): void;
}

/** @internal */
export class EndpointResponse {
  readonly status: number;

  readonly headers: HeaderList;

  readonly isOnUsedConnection: boolean;

  private readonly body: AsyncIterable<Uint8Array>;

  private isReleased = false;

  constructor(
    private readonly connection: EndpointConnection,
    private readonly pool: ConnectionPool,
    { status, headers, isOnUsedConnection, body }: RawResponse,
  ) {
    this.status = status;
    this.headers = headers;
    this.isOnUsedConnection = isOnUsedConnection;
    this.body = body;
  }

  /** Whether a length or chunks show the end of the body; otherwise only the connection's end. */
  get isFramed(): boolean {
    return this.headers.some(([name]) =>
      ['content-length', 'transfer-encoding'].includes(name.toLowerCase()),
    );
  }

  /** Yields the body; throws if it ends before it is complete. */
  async *read(): AsyncGenerator<Uint8Array> {
    let isComplete = false;
    try {
      for await (const chunk of this.body) yield chunk;
      if (this.connection.failure) throw this.connection.failure;
      await this.checkEnd();
      isComplete = true;
    } finally {
      this.release(isComplete);
    }
  }

  /**
   * A body without a length ends with its connection, and so does one whose endpoint ends, also when
   * it leaves as planned.
   * @throws ServingError `endpoint-failed` if nothing listens at the endpoint any more.
   */
  private async checkEnd(): Promise<void> {
    if (this.isFramed || !(await this.connection.isEndpointGone())) return;
    throw new ServingError('endpoint-failed', {
      detail: 'The endpoint was gone when its response, which has no length, ended.',
    });
  }

  /** Closes the connection, which makes the endpoint stop working on the request. */
  abort(): void {
    this.release(false);
  }

  /** Reads and discards the body, so that the connection can be reused. */
  async drain(): Promise<void> {
    try {
      for await (const chunk of this.read()) if (chunk.length === 0) continue;
    } catch {
      // The connection has been closed; the body would have been discarded anyway.
    }
  }

  private release(isReusable: boolean): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.pool.release(this.connection, isReusable);
  }
}
