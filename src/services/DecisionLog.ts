/**
 * Decisions of this node, which are written to the log and kept in memory for a limited time.
 */
import type { Decision, RequestId } from '../core';

/** @public */
export abstract class DecisionLog {
  /** Adds the time, stores the decision and writes its log line. */
  abstract record(decision: Omit<Decision, 'wallMs'>): void;

  /** Returns the decisions about a request in order; queries the deciding node if it is another. */
  abstract find(requestId: RequestId): Promise<ReadonlyArray<Decision>>;

  /** Returns the decisions that this node itself has stored. */
  abstract findLocal(requestId: RequestId): ReadonlyArray<Decision>;
}
