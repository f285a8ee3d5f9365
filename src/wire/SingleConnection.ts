/**
 * A connector for undici that opens one connection and never a second.
 *
 * undici opens a new connection for a request that it hasn't written when the first one closes. A
 * failure of that second connection must not look as if the service had never been reached.
 */
import { buildConnector } from 'undici';

/** The request that fails with this has not been written. @internal */
export class ConnectionSpentError extends Error {}

/** @internal */
export class SingleConnection {
  private isOver = false;

  private isOpened = false;

  private readonly open: buildConnector.connector;

  /** @param maySend asked when the connection stands, right before the request is written. */
  constructor(
    private readonly maySend: () => boolean,
    connectTimeoutMs: number,
  ) {
    this.open = buildConnector({ timeout: connectTimeoutMs });
  }

  /** Whether the connection stood, so that something may have been sent. Never false again. */
  get wasUsed(): boolean {
    return this.isOpened;
  }

  /** A connection that comes to stand later is closed unused. */
  end(): void {
    this.isOver = true;
  }

  readonly connect: buildConnector.connector = (options, callback) => {
    if (this.isOpened || this.isOver) {
      callback(new ConnectionSpentError('The one connection has been used.'), null);
      return;
    }
    this.open(options, (...result) => {
      const [, socket] = result;
      if (!socket || (!this.isOver && this.maySend())) {
        this.isOpened = this.isOpened || Boolean(socket);
        callback(...result);
        return;
      }
      socket.destroy();
      callback(new Error('The time to send the call has passed.'), null);
    });
  };
}
