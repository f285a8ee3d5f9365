/**
 * HTTP server for callers whose requests are forwarded to endpoints.
 */
import type { CallerLimits } from '../../core';
import type { Kernel } from '../../kernel';
import { closeServers, listenOn } from '../../wire';
import { CallerExchange } from './CallerExchange';
import { CallerServer } from './CallerServer';
import { FORWARDING_OPTIONS } from './options';
import type { RequestForwarder } from './RequestForwarder';
import type { RequestTable } from './RequestTable';

/** Parser limit for the head of a request; `limits.maxHeaderBytes` is checked afterwards. */
const MAX_HEADER_BYTES = 65_536;

/** @internal */
export class CallerListener {
  private readonly server: CallerServer;

  constructor(
    private readonly kernel: Kernel,
    private readonly forwarder: RequestForwarder,
    private readonly table: RequestTable,
  ) {
    this.server = new CallerServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: FORWARDING_OPTIONS.callerCheckIntervalMs,
        keepAliveTimeout: 0,
        requestTimeout: 0,
        noDelay: true,
      },
      kernel.clock,
    );
    this.server.on('request', (request, response) => {
      const exchange = new CallerExchange(request, response, this.kernel.clock);
      if (['draining', 'stopped'].includes(this.kernel.state)) exchange.closeAfterResponse();
      void this.table.run(exchange, async (running) => this.forwarder.serve(running));
    });
  }

  async listen(address: string): Promise<void> {
    await listenOn(this.server, address);
    this.server.on('error', (cause) => this.kernel.log.error('caller listener failed', { cause }));
  }

  /** Applies the limits of a new configuration. */
  applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.setIdleTimeout(idleTimeoutMs * FORWARDING_OPTIONS.callerIdleFactor);
  }

  /** Closes connections after the responses that are still to be begun. */
  closeAfterResponses(): void {
    this.table.list().forEach(({ exchange }) => exchange.closeAfterResponse());
  }

  /** Stops accepting connections and closes idle ones. */
  stopAccepting(): void {
    this.server.close();
    void this.server.closeIdle();
  }

  /**
   * Closes the connections once the responses have been sent. Requests that run after the deadline
   * are ended with an error.
   */
  async close(deadlineMs: number): Promise<void> {
    this.server.close();
    await this.table.waitUntilEmpty(deadlineMs);
    this.table.endAll();
    await this.table.waitUntilEmpty(this.kernel.clock.nowMs() + FORWARDING_OPTIONS.stopAnswersMs);
    await closeServers([this.server]);
  }
}
