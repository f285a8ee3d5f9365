/**
 * The decisions of this node: kept for the newest requests and written to the log.
 */
import type { Clock, Decision, RequestId } from '../../core';
import type { Log } from '../../kernel';
import { DecisionLog } from '../../services';
import { EXPLAIN_OPTIONS } from './options';

/** @internal */
export class KeptDecisions extends DecisionLog {
  /** In order of insertion, so that the first key is the oldest request. */
  private readonly chains = new Map<RequestId, ReadonlyArray<Decision>>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    super();
  }

  record(decision: Omit<Decision, 'wallMs'>): void {
    const kept: Decision = { ...decision, wallMs: this.clock.wallMs() };
    this.chains.set(kept.requestId, [...this.findLocal(kept.requestId), kept]);
    this.log.decision(kept);
    const [oldest] = this.chains.keys();
    if (oldest && this.chains.size > EXPLAIN_OPTIONS.keptRequests) this.chains.delete(oldest);
  }

  async find(requestId: RequestId): Promise<ReadonlyArray<Decision>> {
    return this.findLocal(requestId);
  }

  findLocal(requestId: RequestId): ReadonlyArray<Decision> {
    return this.chains.get(requestId) ?? [];
  }
}
