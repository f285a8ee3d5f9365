/**
 * The contracts that are in force on this node.
 */
import type { Contract, ContractFault, CustomerId } from '../core';

/** A contract and the revision at which it was published. @public */
export interface ContractInForce {
  readonly contract: Contract;
  readonly revision: number;
}

/** A published contract that is invalid; the last valid one, if any, stays in force. @public */
export interface RejectedContract {
  readonly customer: string;
  readonly revision: number;
  readonly revisionInForce: number | undefined;
  readonly faults: ReadonlyArray<ContractFault>;
}

/** @public */
export abstract class ContractStore {
  abstract find(customer: CustomerId): ContractInForce | undefined;

  /** @throws ServingError `unknown-key`. */
  abstract authenticate(apiKey: string | undefined): ContractInForce;

  abstract listRejected(): ReadonlyArray<RejectedContract>;

  abstract countInForce(): number;
}
