/**
 * Connections of this node to all endpoints, kept for the next request.
 */
import type { Clock } from '../../core';
import type { KnownBackEnd } from '../../services';
import { ConnectionPool, EndpointResponse } from './EndpointResponse';
import { EndpointConnection, type EndpointMessage } from './EndpointConnection';
import { FORWARDING_OPTIONS } from './options';

interface IdleConnection {
  readonly connection: EndpointConnection;
  readonly idleSinceMs: number;
}

/** Connections to one start of an endpoint. */
class EndpointPool extends ConnectionPool {
  private idle: ReadonlyArray<IdleConnection> = [];

  private busyCount = 0;

  constructor(
    private readonly address: string,
    private readonly clock: Clock,
  ) {
    super();
  }

  get count(): number {
    return this.busyCount + this.idle.length;
  }

  get busy(): number {
    return this.busyCount;
  }

  take(): EndpointConnection {
    this.busyCount += 1;
    // The one that has rested longest, so that late bytes have had time to show.
    const restedSinceMs = this.clock.nowMs() - FORWARDING_OPTIONS.reuseDelayMs;
    const found = this.idle.find(
      (idle) => idle.idleSinceMs <= restedSinceMs && this.isUsable(idle),
    );
    this.idle = this.idle.filter((idle) => idle !== found);
    return found?.connection ?? new EndpointConnection(this.address);
  }

  override release(connection: EndpointConnection, isReusable: boolean): void {
    this.busyCount -= 1;
    if (isReusable && connection.isOpen) {
      this.idle = [...this.idle, { connection, idleSinceMs: this.clock.nowMs() }];
    } else void connection.close();
  }

  /** Closes idle connections whose time is over. */
  closeExpired(): void {
    const expired = this.idle.filter((idle) => !this.isUsable(idle));
    this.idle = this.idle.filter((idle) => !expired.includes(idle));
    expired.forEach(({ connection }) => void connection.close());
  }

  private isUsable({ connection, idleSinceMs }: IdleConnection): boolean {
    return connection.isOpen && this.clock.nowMs() - idleSinceMs < connection.maxIdleMs;
  }
}

function getPoolKey({ endpointId, address, startedAtWallMs }: KnownBackEnd): string {
  return `${endpointId} ${address} ${startedAtWallMs}`;
}

/** @internal */
export class EndpointConnections {
  private readonly pools = new Map<string, EndpointPool>();

  constructor(private readonly clock: Clock) {}

  /** Requests under way at an endpoint. */
  countBusy(backEnd: KnownBackEnd): number {
    return this.pools.get(getPoolKey(backEnd))?.busy ?? 0;
  }

  /**
   * Sends a request. Its connection is kept for another when the answer has been read to its end.
   * @throws ServingError `endpoint-unreachable` when nothing was written, else `outcome-unknown`.
   */
  async send(
    backEnd: KnownBackEnd,
    message: EndpointMessage,
    signal: AbortSignal,
  ): Promise<EndpointResponse> {
    const pool = this.getPool(backEnd);
    const connection = pool.take();
    try {
      return new EndpointResponse(connection, pool, await connection.send(message, signal));
    } catch (thrown) {
      pool.release(connection, false);
      throw thrown;
    }
  }

  /** Closes idle connections whose time is over. */
  closeExpired(): void {
    this.pools.forEach((pool, key) => {
      pool.closeExpired();
      if (pool.count === 0) this.pools.delete(key);
    });
  }

  private getPool(backEnd: KnownBackEnd): EndpointPool {
    const key = getPoolKey(backEnd);
    const pool = this.pools.get(key) ?? new EndpointPool(backEnd.address, this.clock);
    this.pools.set(key, pool);
    return pool;
  }
}
