/**
 * HTTP server for callers whose requests are forwarded to endpoints.
 */
import type { ServerResponse } from 'node:http';
import { rejectOnAbort, type CallerLimits, type ConnectionSettings } from '../../core';
import { estimateRequestBytes, type ConnectionBudget } from '../../decisions';
import type { Kernel } from '../../kernel';
import {
  ClosedConnections,
  closeServers,
  ConnectionLimiter,
  listenOn,
  type CoalescingRequest,
} from '../../wire';
import { CallerExchange } from './CallerExchange';
import { CallerServer } from './CallerServer';
import { ConnectionGuard, type CloseReason } from './ConnectionGuard';
import { createNoMemoryError } from './createNoMemoryError';
import { HeldMemory, type HeldPart } from './HeldMemory';
import { FORWARDING_OPTIONS } from './options';
import type { RequestForwarder } from './RequestForwarder';
import type { RequestTable } from './RequestTable';

/** Parser limit for the head of a request; `limits.maxHeaderBytes` is checked besides. */
const MAX_HEADER_BYTES = 65_536;

/** @internal */
export interface CallerListenerParts {
  readonly forwarder: RequestForwarder;
  readonly table: RequestTable;
}

/** @internal */
export class CallerListener {
  readonly memory: HeldMemory;

  readonly limiter: ConnectionLimiter;

  private readonly server: CallerServer;

  private readonly guard: ConnectionGuard;

  constructor(
    private readonly kernel: Kernel,
    private readonly parts: CallerListenerParts,
    private readonly settings: ConnectionSettings,
    budget: ConnectionBudget,
  ) {
    this.server = new CallerServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: FORWARDING_OPTIONS.callerCheckIntervalMs,
        headersTimeout: settings.defaultHeaderTimeoutMs,
        keepAliveTimeout: 0,
        requestTimeout: 0,
        noDelay: true,
      },
      kernel.clock,
    );
    const { heldBytes } = budget;
    const { ordinaryHeldShare, ordinaryRequestBytes, ordinaryBodyBytes } = FORWARDING_OPTIONS;
    this.memory = new HeldMemory(
      heldBytes,
      heldBytes * ordinaryHeldShare,
      ordinaryRequestBytes + ordinaryBodyBytes,
    );
    const closed = new ClosedConnections(kernel, 'callers');
    const recordClosed = (reason: CloseReason): void => closed.record(reason);
    this.limiter = new ConnectionLimiter(this.server, budget.callers, recordClosed).watch();
    this.guard = new ConnectionGuard(
      this.server,
      this.memory,
      settings.maxPipelinedRequests,
      recordClosed,
    );
    this.server.on('request', (request, response) => {
      void this.serve(request, response);
    });
  }

  /** Whether the node has hardly any connection or memory left for new callers. */
  get isFull(): boolean {
    const { bytes, maxBytes } = this.memory;
    return this.limiter.isFull || bytes > maxBytes * FORWARDING_OPTIONS.fullHeldShare;
  }

  async listen(address: string): Promise<void> {
    await listenOn(this.server, address);
    this.server.on('error', (cause) => this.kernel.log.error('caller listener failed', { cause }));
  }

  /** Applies the limits of a new configuration. */
  applyLimits({ headerTimeoutMs, idleTimeoutMs, maxHeaderBytes }: CallerLimits): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.setIdleTimeout(idleTimeoutMs * FORWARDING_OPTIONS.callerIdleFactor);
    this.guard.setMaxHeadBytes(maxHeaderBytes);
  }

  /** Closes connections after the responses that are still to be begun. */
  closeAfterResponses(): void {
    this.parts.table.list().forEach(({ exchange }) => exchange.closeAfterResponse());
  }

  /** Stops accepting connections and closes idle ones. */
  stopAccepting(): void {
    this.server.close();
    void this.server.closeIdle();
  }

  /** Closes connections whose callers have read nothing of a complete answer for long. */
  closeUnread(): void {
    this.closeAnswersUnreadFor(this.settings.unreadAnswerTimeoutMs);
  }

  /**
   * Closes the connections once the responses have been sent. Requests that run after the deadline
   * are ended with an error.
   */
  async close(deadlineMs: number): Promise<void> {
    const { table } = this.parts;
    this.server.close();
    await table.waitUntilEmpty(deadlineMs);
    table.endAll();
    await table.waitUntilEmpty(this.kernel.clock.nowMs() + FORWARDING_OPTIONS.stopAnswersMs);
    await closeServers([this.server]);
  }

  private async serve(request: CoalescingRequest, response: ServerResponse): Promise<void> {
    if (!this.guard.admit(request)) return;
    const held = this.reserve(request);
    const exchange = new CallerExchange(request, response, this.kernel.clock, held);
    if (!held) this.guard.stopReading(request);
    if (!held || ['draining', 'stopped'].includes(this.kernel.state)) {
      exchange.closeAfterResponse();
    }
    const { table, forwarder } = this.parts;
    try {
      const turn = this.guard.takeTurn(request.socket, exchange.closed);
      await table.run(exchange, async (running) => {
        if (!held) {
          table.end(running, createNoMemoryError());
          return;
        }
        // Pipelined requests run one by one: their answers would have to be buffered.
        if (turn) await rejectOnAbort(turn, running.signal).catch(() => {});
        await forwarder.serve(running);
      });
    } finally {
      held?.release();
      this.guard.endRequest(request.socket);
    }
  }

  /** Returns undefined when there is no memory for the request. */
  private reserve({ rawHeaders }: CoalescingRequest): HeldPart | undefined {
    const headBytes = rawHeaders.reduce((sum, { length }) => sum + length, 0);
    const bytes = estimateRequestBytes(rawHeaders.length / 2, headBytes);
    const isOrdinary = bytes <= FORWARDING_OPTIONS.ordinaryRequestBytes;
    const reserve = (): HeldPart | undefined =>
      isOrdinary ? this.memory.reserveOrdinary(bytes) : this.memory.reserve(bytes);
    const held = reserve();
    if (held) return held;
    this.closeAnswersUnreadFor(FORWARDING_OPTIONS.unreadGraceMs);
    return reserve();
  }

  private closeAnswersUnreadFor(timeoutMs: number): void {
    this.parts.table
      .list()
      .filter(({ exchange }) => exchange.isUnreadFor(timeoutMs))
      .forEach(({ exchange }) => this.guard.close(exchange, 'unread answer'));
  }
}
