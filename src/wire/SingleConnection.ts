/**
 * An undici connector that opens at most one connection.
 *
 * When a connection closes, undici opens another one for a request that is not yet written. If that
 * one fails, the error must not suggest that the service was never reached.
 */
import { buildConnector } from 'undici';

/** A request that fails with this error has not been written. @internal */
export class ConnectionUsedError extends Error {}

/** @internal */
export class SingleConnection {
  private isEnded = false;

  private isOpened = false;

  private error: Error | undefined;

  private readonly open: buildConnector.connector;

  /** @param maySend called with the connection open, right before the request is written. */
  constructor(
    private readonly maySend: () => boolean,
    connectTimeoutMs: number,
  ) {
    this.open = buildConnector({ timeout: connectTimeoutMs });
  }

  /** Whether the connection was ever open, so that data may have been sent. */
  get wasOpened(): boolean {
    return this.isOpened;
  }

  /** The error that ended the connection, such as a reset; undefined when it was closed properly. */
  get failure(): Error | undefined {
    return this.error;
  }

  /** A connection that opens later is closed without being used. */
  end(): void {
    this.isEnded = true;
  }

  readonly connect: buildConnector.connector = (options, callback) => {
    if (this.isOpened || this.isEnded) {
      callback(new ConnectionUsedError('The only connection has been used already.'), null);
      return;
    }
    this.open(options, (...result) => {
      const [, socket] = result;
      if (!socket || (!this.isEnded && this.maySend())) {
        this.isOpened = this.isOpened || Boolean(socket);
        socket?.on('error', (error) => {
          // undici destroys sockets with its own errors; only system errors have a `syscall`.
          if ('syscall' in error) this.error = error;
        });
        socket?.on('end', () => {
          // Node.js reports a reset that arrives together with data as an end. Only the missing
          // remote address then shows that the connection was reset.
          if (socket.remoteAddress === undefined) {
            this.error = new Error('The connection was reset.');
          }
        });
        callback(...result);
        return;
      }
      socket.destroy();
      callback(new Error('The deadline for sending the call has passed.'), null);
    });
  };
}
