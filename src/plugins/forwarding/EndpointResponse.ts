/**
 * The answer of an endpoint, whose connection is given back when it has been read to its end.
 */
import type { HeaderList } from '../../services';
import type { EndpointConnection, RawResponse } from './EndpointConnection';

/** Takes a connection back after an answer. @internal */
export abstract class ConnectionPool {
  /** `isReusable`: the answer was read to its end. */
  abstract release(connection: EndpointConnection, isReusable: boolean): void;
}

/** @internal */
export class EndpointResponse {
  readonly status: number;

  readonly headers: HeaderList;

  private readonly body: AsyncIterable<Uint8Array>;

  private isGivenBack = false;

  constructor(
    private readonly connection: EndpointConnection,
    private readonly owner: ConnectionPool,
    { status, headers, body }: RawResponse,
  ) {
    this.status = status;
    this.headers = headers;
    this.body = body;
  }

  /** Yields the body; ends without an error only when it was complete. */
  async *read(): AsyncGenerator<Uint8Array> {
    let isComplete = false;
    try {
      for await (const chunk of this.body) yield chunk;
      if (this.connection.failure) throw this.connection.failure;
      isComplete = true;
    } finally {
      this.giveBack(isComplete);
    }
  }

  /** Closes the connection; an endpoint that is at work on the answer stops. */
  abort(): void {
    this.giveBack(false);
  }

  /** Reads a body that nobody wants, so that the connection can be used again. */
  async drain(): Promise<void> {
    try {
      for await (const chunk of this.read()) if (chunk.length === 0) continue;
    } catch {
      // The connection has been closed; the answer itself was not wanted.
    }
  }

  private giveBack(isReusable: boolean): void {
    if (this.isGivenBack) return;
    this.isGivenBack = true;
    this.owner.release(this.connection, isReusable);
  }
}
