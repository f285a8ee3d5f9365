/**
 * Slices of a customer's limits that this node holds.
 */
import type { RequestId } from '../core';
import type { ContractInForce } from './ContractStore';

/** A place within the limits; released once, when the request has ended. @public */
export interface LimitSlot {
  readonly release: () => void;
}

/** @public */
export type LimitedWork = 'generation' | 'call';

/** @public */
export abstract class LimitLeases {
  /**
   * Takes a place for one request, asking the customer's home node for a larger slice if need be.
   * A wait and a refusal are recorded as decisions about the request.
   * @param deadlineMs on this node's monotonic clock.
   * @throws ServingError `limit-reached` with the clause and the time to come back.
   */
  abstract acquire(
    inForce: ContractInForce,
    work: LimitedWork,
    deadlineMs: number,
    requestId: RequestId,
  ): Promise<LimitSlot>;
}
