/**
 * Keep-alive connections of this node to endpoints, in one pool per endpoint.
 */
import { ServingError, type Clock } from '../../core';
import type { KnownBackEnd } from '../../services';
import { ConnectionPool, EndpointResponse } from './EndpointResponse';
import { EndpointConnection, type EndpointMessage } from './EndpointConnection';
import { FORWARDING_OPTIONS } from './options';

interface IdleConnection {
  readonly connection: EndpointConnection;
  readonly idleSinceMs: number;
}

/** Connections to one instance of an endpoint; a restarted endpoint gets a new pool. */
class EndpointPool extends ConnectionPool {
  private idle: ReadonlyArray<IdleConnection> = [];

  private busyCount = 0;

  constructor(
    readonly service: string,
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

  /** @throws ServingError `endpoint-unreachable` when the address can't be used. */
  acquire(): EndpointConnection {
    // The one that has been idle longest, so that a stray second response has had time to arrive.
    const reusableSinceMs = this.clock.nowMs() - FORWARDING_OPTIONS.reuseDelayMs;
    const found = this.idle.find(
      (idle) => idle.idleSinceMs <= reusableSinceMs && this.isUsable(idle),
    );
    this.idle = this.idle.filter((idle) => idle !== found);
    const connection = found?.connection ?? this.open();
    this.busyCount += 1;
    return connection;
  }

  override release(connection: EndpointConnection, isReusable: boolean): void {
    this.busyCount -= 1;
    if (isReusable && connection.isOpen) {
      this.idle = [...this.idle, { connection, idleSinceMs: this.clock.nowMs() }];
    } else void connection.close();
  }

  /** Closes idle connections that have passed their idle timeout. */
  closeExpired(): void {
    const expired = this.idle.filter((idle) => !this.isUsable(idle));
    this.idle = this.idle.filter((idle) => !expired.includes(idle));
    expired.forEach(({ connection }) => void connection.close());
  }

  closeIdle(): void {
    const { idle } = this;
    this.idle = [];
    idle.forEach(({ connection }) => void connection.close());
  }

  private open(): EndpointConnection {
    try {
      return new EndpointConnection(this.address);
    } catch (thrown) {
      throw ServingError.from(thrown, 'endpoint-unreachable');
    }
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

  /** Number of this node's requests in flight at an endpoint. */
  countBusy(backEnd: KnownBackEnd): number {
    return this.pools.get(getPoolKey(backEnd))?.busy ?? 0;
  }

  /**
   * Sends a request. Its connection is reused once the response has been read to its end.
   * @throws ServingError `endpoint-unreachable` if nothing was written, otherwise `outcome-unknown`.
   */
  async send(
    backEnd: KnownBackEnd,
    message: EndpointMessage,
    signal: AbortSignal,
  ): Promise<EndpointResponse> {
    const pool = this.getPool(backEnd);
    const connection = pool.acquire();
    try {
      return new EndpointResponse(connection, pool, await connection.send(message, signal));
    } catch (thrown) {
      pool.release(connection, false);
      throw thrown;
    }
  }

  /** Closes the connections to endpoints of a service that carry no request. */
  closeIdle(service: string): void {
    this.pools.forEach((pool) => {
      if (pool.service === service) pool.closeIdle();
    });
  }

  /** Closes idle connections that have passed their idle timeout, and drops empty pools. */
  closeExpired(): void {
    this.pools.forEach((pool, key) => {
      pool.closeExpired();
      if (pool.count === 0) this.pools.delete(key);
    });
  }

  private getPool(backEnd: KnownBackEnd): EndpointPool {
    const key = getPoolKey(backEnd);
    const pool =
      this.pools.get(key) ?? new EndpointPool(backEnd.service, backEnd.address, this.clock);
    this.pools.set(key, pool);
    return pool;
  }
}
