/**
 * This node's share of the retries that all nodes together may send to a service.
 *
 * In any window a service accepts retries up to a share of its requests plus a fixed allowance. The
 * share applies to the requests that this node has sent; the allowance is divided among the nodes.
 */

/** @public */
export interface RetryBudgetRules {
  readonly retryShare: number;
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
}

/** Share of the budget that is used; the rest is a margin, as nodes' views of the fleet differ. */
const USABLE_SHARE = 0.75;

/** Times of one service's events within the window, oldest first. */
class EventWindow {
  private times: ReadonlyArray<number> = [];

  add(atMs: number, windowStartMs: number): void {
    this.times = [...this.times.filter((time) => time > windowStartMs), atMs];
  }

  countSince(fromMs: number): number {
    return this.times.filter((time) => time > fromMs).length;
  }
}

/** @public */
export class RetryBudget {
  private readonly requests = new Map<string, EventWindow>();

  private readonly retries = new Map<string, EventWindow>();

  constructor(private readonly rules: RetryBudgetRules) {}

  recordRequest(service: string, nowMs: number): void {
    this.record(this.requests, service, nowMs);
  }

  /** Retries that may still be sent now. */
  getRemaining(service: string, nowMs: number, nodes: number): number {
    const { retryShare, retryAllowance, retryWindowMs } = this.rules;
    const fromMs = nowMs - retryWindowMs;
    const requests = this.requests.get(service)?.countSince(fromMs) ?? 0;
    const spent = this.retries.get(service)?.countSince(fromMs) ?? 0;
    const allowed = USABLE_SHARE * (retryShare * requests + retryAllowance / Math.max(1, nodes));
    return Math.floor(allowed) - spent;
  }

  /** Counts a retry against the budget; returns false when the budget is spent. */
  tryConsume(service: string, nowMs: number, nodes: number): boolean {
    if (this.getRemaining(service, nowMs, nodes) < 1) return false;
    this.record(this.retries, service, nowMs);
    return true;
  }

  private record(windows: Map<string, EventWindow>, service: string, nowMs: number): void {
    const window = windows.get(service) ?? new EventWindow();
    window.add(nowMs, nowMs - this.rules.retryWindowMs);
    windows.set(service, window);
  }
}
