/**
 * Calls of services that may not be repeated.
 */
import type { CustomerId, KindClause, RequestId, CallKind } from '../core';
import type { ContractInForce } from './ContractStore';
import type { ServiceAnswer, ServiceCall } from './ServiceCalls';

/** @public */
export interface IssuedTicket {
  /** The value of `Idempotency-Key`. */
  readonly key: string;
  /** Time until the key expires, from now. */
  readonly expiresInMs: number;
}

/** What became of an operation. @public */
export type OperationOutcome =
  | { readonly state: 'open' | 'running' | 'closed' | 'unknown' }
  | { readonly state: 'answered'; readonly answer: ServiceAnswer };

/** @public */
export abstract class Operations {
  /** Issues a key that one call may use. @throws ServingError `not-ready`, `draining`. */
  abstract issueTicket(customer: CustomerId, kindOfWork: string): Promise<IssuedTicket>;

  /**
   * Runs the call at most once over the whole fleet, or returns the first answer.
   * @throws ServingError with the run outcome of its kind.
   */
  abstract run(
    key: string,
    call: ServiceCall,
    context: {
      readonly requestId: RequestId;
      readonly inForce: ContractInForce;
      readonly clause: KindClause<CallKind>;
    },
  ): Promise<ServiceAnswer>;

  /** @throws ServingError `invalid-token`. */
  abstract find(key: string, customer: CustomerId): Promise<OperationOutcome>;
}
