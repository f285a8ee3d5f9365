/**
 * Non-repeatable calls of services, which run at most once.
 */
import type { CustomerId } from '../core';
import type { CallContext, ServiceAnswer, ServiceCall } from './ServiceCalls';

/** @public */
export interface IssuedTicket {
  /** The value of `Idempotency-Key`. */
  readonly key: string;
  /** Time from now until the key expires. */
  readonly expiresInMs: number;
}

/** State of an operation, with its answer once there is one. @public */
export type OperationOutcome =
  | { readonly state: 'open' | 'running' | 'closed' | 'unknown' }
  | { readonly state: 'answered'; readonly answer: ServiceAnswer };

/** @public */
export abstract class Operations {
  /** Issues a key for a single call. @throws ServingError `not-ready`, `draining`. */
  abstract issueTicket(customer: CustomerId, kindOfWork: string): Promise<IssuedTicket>;

  /**
   * Runs the call at most once in the whole fleet; a repeat returns the first answer.
   * @throws ServingError with the run outcome of its kind.
   */
  abstract run(key: string, call: ServiceCall, context: CallContext): Promise<ServiceAnswer>;

  /** @throws ServingError `invalid-token`. */
  abstract find(key: string, customer: CustomerId): Promise<OperationOutcome>;
}
