/**
 * The listener for callers whose requests are forwarded.
 */
import { createServer, type Server } from 'node:http';
import type { CallerLimits } from '../../core';
import type { Kernel } from '../../kernel';
import { closeServers, listenOn } from '../../wire';
import { CallerExchange } from './CallerExchange';
import { FORWARDING_OPTIONS } from './options';
import type { RequestForwarder } from './RequestForwarder';

/** Largest head of a request that the parser takes before a configuration is known. */
const MAX_HEADER_BYTES = 65_536;

/** @internal */
export class CallerListener {
  private readonly server: Server;

  private readonly running = new Set<Promise<void>>();

  constructor(
    private readonly kernel: Kernel,
    private readonly forwarder: RequestForwarder,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: FORWARDING_OPTIONS.callerCheckIntervalMs,
        keepAliveTimeout: 0,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => {
        response.shouldKeepAlive = response.shouldKeepAlive && this.kernel.state !== 'draining';
        const exchange = new CallerExchange(request, response, this.kernel.clock);
        const task = this.forwarder.serve(exchange);
        this.running.add(task);
        void task.finally(() => this.running.delete(task));
      },
    );
  }

  get runningCount(): number {
    return this.running.size;
  }

  async listen(address: string): Promise<void> {
    await listenOn(this.server, address);
    this.server.on('error', (cause) => this.kernel.log.error('front listener failed', { cause }));
  }

  /** Follows the limits in force. */
  applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs * FORWARDING_OPTIONS.callerIdleFactor;
  }

  /** Takes no new connection and closes those that are idle. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Resolves when no request is running. */
  async waitUntilIdle(): Promise<void> {
    while (this.running.size > 0) await Promise.allSettled(this.running);
  }

  async close(): Promise<void> {
    await closeServers([this.server]);
  }
}
