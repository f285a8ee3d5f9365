/**
 * Bounds the connections of an HTTP server. When few are left, the connections that have been idle
 * longest are closed, first those that have never sent a request. Connections whose remote end is known
 * to be trusted can be exempted.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Part of the connections above which idle ones are closed for each new one. */
const SHED_SHARE = 0.9;

/** Closed while idle to make room, or not accepted as no connection was left. @internal */
export type ShedReason = 'idle' | 'full';

/** @internal */
export class ConnectionLimiter {
  /** Connections that have sent no complete head yet, in the order in which they were opened. */
  private readonly unused = new Set<Socket>();

  /** Connections between two requests, in the order of their last answers. */
  private readonly idle = new Set<Socket>();

  private readonly openRequests = new WeakMap<Socket, number>();

  /** Connections that the bound doesn't count. */
  private readonly exempt = new Set<Socket>();

  private connections = 0;

  /** @param onShed called for each connection that is closed or not accepted. */
  constructor(
    private readonly server: Server,
    private readonly maxConnections: number,
    private readonly onShed: (reason: ShedReason) => void,
  ) {}

  /** Begins to count; called before the server listens. */
  watch(): this {
    const { server } = this;
    this.setServerLimit();
    server.on('drop', () => this.onShed('full'));
    server.on('connection', (socket: Socket) => this.add(socket));
    server.on('request', ({ socket }, response) => {
      this.addRequests(socket, 1);
      response.once('close', () => this.addRequests(socket, -1));
    });
    return this;
  }

  get count(): number {
    return this.connections;
  }

  get max(): number {
    return this.maxConnections;
  }

  /** No longer counts or closes a connection that was accepted, such as the link of another node. */
  exemptFromLimit(socket: Socket): void {
    if (socket.destroyed || this.exempt.has(socket)) return;
    this.forget(socket);
    this.exempt.add(socket);
    this.setServerLimit();
  }

  /** Whether hardly any connection is left that could be closed for a new one. */
  get isFull(): boolean {
    const closable = this.unused.size + this.idle.size;
    return this.connections - closable >= this.maxConnections * SHED_SHARE;
  }

  private add(socket: Socket): void {
    this.connections += 1;
    this.unused.add(socket);
    socket.once('close', () => {
      if (this.exempt.delete(socket)) this.setServerLimit();
      else this.forget(socket);
    });
    if (this.connections > this.maxConnections * SHED_SHARE) this.shed(socket);
  }

  /** Node.js closes connections above its limit as it accepts them, and counts those that are exempt. */
  private setServerLimit(): void {
    this.server.maxConnections = this.maxConnections + this.exempt.size;
  }

  private forget(socket: Socket): void {
    this.connections -= 1;
    this.unused.delete(socket);
    this.idle.delete(socket);
  }

  private shed(newest: Socket): void {
    const [oldest = newest] = this.unused;
    const [closable] = oldest === newest ? this.idle : [oldest];
    if (!closable) return;
    this.unused.delete(closable);
    this.idle.delete(closable);
    this.onShed('idle');
    closable.destroy();
  }

  private addRequests(socket: Socket, change: number): void {
    const count = (this.openRequests.get(socket) ?? 0) + change;
    this.openRequests.set(socket, count);
    this.unused.delete(socket);
    if (count > 0 || socket.destroyed) this.idle.delete(socket);
    else this.idle.add(socket);
  }
}
