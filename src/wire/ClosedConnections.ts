/**
 * Reports the connections of a listener that a limit has closed or not accepted: each in the metrics,
 * and those of an interval in one log line, as there may be very many.
 */
import type { Kernel } from '../kernel';
import { ServingMetrics } from '../services';

const LINE_INTERVAL_MS = 5_000;

interface ReasonState {
  /** Connections since the last line. */
  readonly unlogged: number;
  readonly nextLineAtMs: number;
}

const NONE: ReasonState = { unlogged: 0, nextLineAtMs: -Infinity };

/** @internal */
export class ClosedConnections {
  private readonly byReason = new Map<string, ReasonState>();

  constructor(
    private readonly kernel: Kernel,
    private readonly listener: string,
  ) {}

  record(reason: string): void {
    const { kernel, listener } = this;
    kernel.getAll(ServingMetrics).forEach((metrics) => {
      metrics.countClosedConnection(listener, reason);
    });
    const { unlogged, nextLineAtMs } = this.byReason.get(reason) ?? NONE;
    const connections = unlogged + 1;
    const nowMs = kernel.clock.nowMs();
    if (nowMs < nextLineAtMs) {
      this.byReason.set(reason, { unlogged: connections, nextLineAtMs });
      return;
    }
    this.byReason.set(reason, { unlogged: 0, nextLineAtMs: nowMs + LINE_INTERVAL_MS });
    kernel.log.warn('connections closed by a limit', { listener, reason, connections });
  }
}
