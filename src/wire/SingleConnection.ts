/**
 * A connector for undici that opens one connection and never a second.
 *
 * undici opens a new connection for a request that it hasn't written when the first one closes. A
 * failure of that second connection must not look as if the service had never been reached.
 */
import { buildConnector } from 'undici';

/** The request that fails with this has not been written. @internal */
export class ConnectionUsedError extends Error {}

/** @internal */
export class SingleConnection {
  private isOver = false;

  private isOpened = false;

  private error: Error | undefined;

  private readonly open: buildConnector.connector;

  /** @param maySend asked when the connection stands, right before the request is written. */
  constructor(
    private readonly maySend: () => boolean,
    connectTimeoutMs: number,
  ) {
    this.open = buildConnector({ timeout: connectTimeoutMs });
  }

  /** Whether the connection stood, so that something may have been sent. Never false again. */
  get wasOpened(): boolean {
    return this.isOpened;
  }

  /** The error that ended the connection, such as a reset; undefined when it was closed properly. */
  get failure(): Error | undefined {
    return this.error;
  }

  /** A connection that comes to stand later is closed unused. */
  end(): void {
    this.isOver = true;
  }

  readonly connect: buildConnector.connector = (options, callback) => {
    if (this.isOpened || this.isOver) {
      callback(new ConnectionUsedError('The one connection has been used.'), null);
      return;
    }
    this.open(options, (...result) => {
      const [, socket] = result;
      if (!socket || (!this.isOver && this.maySend())) {
        this.isOpened = this.isOpened || Boolean(socket);
        socket?.on('error', (error) => {
          // The HTTP client ends a socket with errors of its own; those of the system name a call.
          if ('syscall' in error) this.error = error;
        });
        socket?.on('end', () => {
          // A reset that comes together with data is reported as an end. Only the system knows then
          // that the connection has no peer any more.
          if (socket.remoteAddress === undefined) {
            this.error = new Error('The connection was reset.');
          }
        });
        callback(...result);
        return;
      }
      socket.destroy();
      callback(new Error('The time to send the call has passed.'), null);
    });
  };
}
