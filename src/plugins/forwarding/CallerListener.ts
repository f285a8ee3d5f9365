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
      response.shouldKeepAlive = response.shouldKeepAlive && this.kernel.state !== 'draining';
      const exchange = new CallerExchange(request, response, this.kernel.clock);
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

  /** Stops accepting connections and closes idle ones. */
  stopAccepting(): void {
    this.server.close();
    void this.server.closeIdle();
  }

  /** Ends requests that still run with an error, and closes all connections. */
  async close(): Promise<void> {
    this.server.close();
    this.table.endAll();
    const timeout = new AbortController();
    await Promise.race([
      this.table.waitUntilEmpty(),
      this.kernel.clock.sleep(FORWARDING_OPTIONS.stopAnswersMs, timeout.signal),
    ]);
    timeout.abort();
    await closeServers([this.server]);
  }
}
