/**
 * HTTP server that closes connections of callers only when they are idle.
 *
 * Node.js starts the idle timer of a connection when a response ends, and closes the connection when
 * the timer fires. That is too early if the timeout has become longer since, or if the process was
 * busy and the next request already waits in the kernel, because timers run before sockets are read.
 */
import { Server, type ServerOptions } from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate as turnOfEventLoop } from 'node:timers/promises';
import type { Clock } from '../../core';
import { CoalescingRequest } from '../../wire';
import { FORWARDING_OPTIONS } from './options';

/** A connection on which no request is open. */
interface IdleConnection {
  readonly sinceMs: number;
  /** Idle timeout that the `Keep-Alive` header of the last response has stated. */
  readonly statedTimeoutMs: number;
}

/** @internal */
export class CallerServer extends Server<typeof CoalescingRequest> {
  private readonly idle = new Map<Socket, IdleConnection>();

  /** Requests of each connection that have no complete response; several if they are pipelined. */
  private readonly openRequests = new WeakMap<Socket, number>();

  constructor(
    options: ServerOptions<typeof CoalescingRequest>,
    private readonly clock: Clock,
  ) {
    super({ ...options, IncomingMessage: CoalescingRequest });
    // The parser would drop lines above a number silently.
    this.maxHeadersCount = 0;
    this.on('connection', (socket: Socket) => {
      socket.once('close', () => this.idle.delete(socket));
    });
    this.on('request', ({ socket }, response) => {
      this.addOpenRequests(socket, 1);
      response.once('finish', () => this.addOpenRequests(socket, -1));
    });
    // With a listener, Node.js leaves the close of the connection to it.
    this.on('timeout', (socket: Socket) => {
      this.closeIfIdle(socket).catch(() => socket.destroy());
    });
  }

  /** Sets the idle timeout, also for connections that are idle already. */
  setIdleTimeout(timeoutMs: number): void {
    this.keepAliveTimeout = timeoutMs;
    this.idle.forEach((_connection, socket) => this.startTimer(socket));
  }

  /**
   * Closes idle connections. A connection whose response the system has not taken yet, or whose next
   * request has arrived, isn't idle; `closeIdleConnections` of Node.js closes these too.
   */
  async closeIdle(): Promise<void> {
    const idle = [...this.idle.keys()].map(async (socket) => this.closeUnlessUsed(socket));
    await Promise.all(idle);
  }

  /** Called by `close` of Node.js; see `closeIdle`. */
  override closeIdleConnections(): void {}

  private addOpenRequests(socket: Socket, change: number): void {
    const count = (this.openRequests.get(socket) ?? 0) + change;
    this.openRequests.set(socket, count);
    if (count > 0 || socket.destroyed) {
      this.idle.delete(socket);
      return;
    }
    const connection = { sinceMs: this.clock.nowMs(), statedTimeoutMs: this.keepAliveTimeout };
    this.idle.set(socket, connection);
  }

  private startTimer(socket: Socket): void {
    const leftMs = this.getIdleLeftMs(socket);
    if (leftMs !== undefined) socket.setTimeout(Math.max(1, leftMs));
  }

  /** Time until the connection may be closed; undefined while it isn't idle. */
  private getIdleLeftMs(socket: Socket): number | undefined {
    const connection = this.idle.get(socket);
    if (!connection) return undefined;
    // Callers rely on the header that they got.
    const timeoutMs = Math.max(connection.statedTimeoutMs, this.keepAliveTimeout);
    const marginMs = FORWARDING_OPTIONS.callerIdleMarginMs;
    return connection.sinceMs + timeoutMs + marginMs - this.clock.nowMs();
  }

  private async closeIfIdle(socket: Socket): Promise<void> {
    const leftMs = this.getIdleLeftMs(socket);
    if (leftMs === undefined) return;
    if (leftMs > 0) this.startTimer(socket);
    else await this.closeUnlessUsed(socket);
  }

  /** Lets the event loop read sockets once before the connection is closed. */
  private async closeUnlessUsed(socket: Socket): Promise<void> {
    const { bytesRead } = socket;
    await turnOfEventLoop();
    if (socket.bytesRead === bytesRead && this.idle.has(socket)) socket.destroy();
  }
}
