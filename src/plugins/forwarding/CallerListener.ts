/**
 * HTTP server for callers whose requests are forwarded to endpoints.
 */
import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { startDeadline, type CallerLimits } from '../../core';
import type { Kernel } from '../../kernel';
import { closeServers, listenOn } from '../../wire';
import { CallerExchange } from './CallerExchange';
import { FORWARDING_OPTIONS } from './options';
import type { RequestForwarder } from './RequestForwarder';

/** Parser limit for the head of a request; `limits.maxHeaderBytes` is checked afterwards. */
const MAX_HEADER_BYTES = 65_536;

/** @internal */
export class CallerListener {
  private readonly server: Server;

  private readonly running = new Set<Promise<void>>();

  private readonly openResponses = new Set<ServerResponse>();

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
        this.openResponses.add(response);
        response.once('close', () => this.openResponses.delete(response));
        const exchange = new CallerExchange(request, response, this.kernel.clock);
        const task = this.serve(exchange);
        this.running.add(task);
        void task.finally(() => this.running.delete(task));
      },
    );
  }

  /** A response that is written to the buffer is not sent yet when the process exits. */
  private async serve(exchange: CallerExchange): Promise<void> {
    await this.forwarder.serve(exchange);
    await exchange.closed;
  }

  get runningCount(): number {
    return this.running.size;
  }

  async listen(address: string): Promise<void> {
    await listenOn(this.server, address);
    this.server.on('error', (cause) => this.kernel.log.error('caller listener failed', { cause }));
  }

  /** Applies the limits of a new configuration. */
  applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs * FORWARDING_OPTIONS.callerIdleFactor;
  }

  /** Closes connections after the responses that are still to be begun. */
  closeAfterResponses(): void {
    this.openResponses.forEach((response) => {
      const open = response;
      if (!response.headersSent) open.shouldKeepAlive = false;
    });
  }

  /** Stops accepting connections and closes idle ones. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Resolves when no request is running, or at the deadline. */
  async waitUntilIdle(deadlineMs: number): Promise<void> {
    const { clock } = this.kernel;
    const timeout = startDeadline(deadlineMs - clock.nowMs());
    const expired = once(timeout.signal, 'abort');
    while (this.running.size > 0 && !timeout.signal.aborted) {
      await Promise.race([Promise.allSettled(this.running), expired]);
    }
    timeout.stop();
  }

  /** Closes the connections once the responses have been sent, at the latest at the deadline. */
  async close(deadlineMs: number): Promise<void> {
    await this.waitUntilIdle(deadlineMs);
    await closeServers([this.server]);
  }
}
