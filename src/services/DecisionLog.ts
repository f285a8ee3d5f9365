/**
 * Decisions of this node, kept for a while and written to the log.
 */
import type { Decision, RequestId } from '../core';

/** @public */
export abstract class DecisionLog {
  /** Adds the time, keeps the decision and writes its log line. */
  abstract record(decision: Omit<Decision, 'wallMs'>): void;

  /** Decisions about a request in their order; asks the deciding node where that is another. */
  abstract find(requestId: RequestId): Promise<ReadonlyArray<Decision>>;

  /** Decisions kept on this node only. */
  abstract findLocal(requestId: RequestId): ReadonlyArray<Decision>;
}
