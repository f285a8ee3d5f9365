/**
 * Keeps this node's decisions about the most recent requests in memory, and logs every decision.
 */
import * as z from 'zod';
import {
  decisionSchema,
  EvictingMap,
  getDecidingVm,
  type Decision,
  type RequestId,
} from '../../core';
import type { Kernel } from '../../kernel';
import { DecisionLog, Peers } from '../../services';
import { EXPLAIN_OPTIONS } from './options';

/** @internal */
export class InMemoryDecisionLog extends DecisionLog {
  private readonly entries = new EvictingMap<RequestId, ReadonlyArray<Decision>>(
    EXPLAIN_OPTIONS.maxRequests,
  );

  constructor(private readonly kernel: Kernel) {
    super();
  }

  record(decision: Omit<Decision, 'wallMs'>): void {
    const recorded: Decision = { ...decision, wallMs: this.kernel.clock.wallMs() };
    this.entries.set(recorded.requestId, [...this.findLocal(recorded.requestId), recorded]);
    this.kernel.log.decision(recorded);
  }

  async find(requestId: RequestId): Promise<ReadonlyArray<Decision>> {
    const decidingVm = getDecidingVm(requestId);
    const local = this.findLocal(requestId);
    if (local.length > 0 || decidingVm === this.kernel.settings.vmId) return local;
    const deadlineMs = this.kernel.clock.nowMs() + EXPLAIN_OPTIONS.lookupTimeoutMs;
    try {
      const reply = await this.kernel
        .get(Peers)
        .call(decidingVm, 'decision.find', { requestId }, deadlineMs);
      return z.array(decisionSchema).parse(reply);
    } catch (thrown) {
      this.kernel.log.warn('decision lookup failed', { requestId, decidingVm, cause: thrown });
      return [];
    }
  }

  findLocal(requestId: RequestId): ReadonlyArray<Decision> {
    return this.entries.get(requestId) ?? [];
  }
}
