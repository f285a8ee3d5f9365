/**
 * This node's share of the repeats that a service may get from all nodes together.
 *
 * Over any window the service accepts a share of its requests and a fixed number beyond. The share
 * follows the requests that this node has seen itself; the fixed number is divided among the nodes.
 */

/** @public */
export interface RetryBudgetRules {
  readonly retryShare: number;
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
}

/** Part of the budget that is spent; nodes differ in what they know of each other. */
const SPENT_PART = 0.75;

/** Times of events of one service, oldest first. */
class RecentTimes {
  private times: ReadonlyArray<number> = [];

  add(atMs: number, keptFromMs: number): void {
    this.times = [...this.times.filter((time) => time > keptFromMs), atMs];
  }

  countSince(fromMs: number): number {
    return this.times.filter((time) => time > fromMs).length;
  }
}

/** @public */
export class RetryBudget {
  private readonly requests = new Map<string, RecentTimes>();

  private readonly repeats = new Map<string, RecentTimes>();

  constructor(private readonly rules: RetryBudgetRules) {}

  recordRequest(service: string, nowMs: number): void {
    this.note(this.requests, service, nowMs);
  }

  /** Repeats that may still be sent now. */
  getRemaining(service: string, nowMs: number, nodes: number): number {
    const { retryShare, retryAllowance, retryWindowMs } = this.rules;
    const fromMs = nowMs - retryWindowMs;
    const requests = this.requests.get(service)?.countSince(fromMs) ?? 0;
    const spent = this.repeats.get(service)?.countSince(fromMs) ?? 0;
    const allowed = SPENT_PART * (retryShare * requests + retryAllowance / Math.max(1, nodes));
    return Math.floor(allowed) - spent;
  }

  /** Notes a repeat if one may be sent. */
  tryConsume(service: string, nowMs: number, nodes: number): boolean {
    if (this.getRemaining(service, nowMs, nodes) < 1) return false;
    this.note(this.repeats, service, nowMs);
    return true;
  }

  private note(table: Map<string, RecentTimes>, service: string, nowMs: number): void {
    const times = table.get(service) ?? new RecentTimes();
    times.add(nowMs, nowMs - this.rules.retryWindowMs);
    table.set(service, times);
  }
}
