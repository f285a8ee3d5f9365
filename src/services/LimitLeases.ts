/**
 * Leases of this node on parts of the customers' limits.
 */
import type { RequestId } from '../core';
import type { ContractInForce } from './ContractStore';

/** A slot within the limits of a customer; released once, when the request has ended. @public */
export interface LimitSlot {
  readonly release: () => void;
}

/** @public */
export type LimitedWork = 'generation' | 'call';

/** @public */
export abstract class LimitLeases {
  /**
   * Acquires a slot for one request, after requesting a larger lease from the customer's home node
   * if needed. Records a wait or a refusal as a decision about the request.
   * @param deadlineMs on this node's monotonic clock.
   * @throws ServingError `limit-reached` with the clause and the time after which to retry.
   */
  abstract acquire(
    inForce: ContractInForce,
    work: LimitedWork,
    deadlineMs: number,
    requestId: RequestId,
  ): Promise<LimitSlot>;
}
