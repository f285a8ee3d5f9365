/**
 * Calls to plain services.
 */
import type { CallKind, KindClause, RequestId } from '../core';
import type { ContractInForce } from './ContractStore';
import type { FleetEndpoint } from './Fleet';

/** A call as received from a caller, without connection headers. @public */
export interface ServiceCall {
  readonly method: string;
  /** Path and query relative to the service, starting with `/`. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** The answer of a service, whatever its status. @public */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** The request of a caller that a call belongs to, with the clause of its contract. @public */
export interface CallContext {
  readonly requestId: RequestId;
  readonly inForce: ContractInForce;
  readonly clause: KindClause<CallKind>;
}

/** @public */
export abstract class ServiceCalls {
  /**
   * Sends the call once, on its own connection, without retries.
   * @param deadlineMs time by which the answer must be complete, on this node's monotonic clock.
   * @param sendDeadlineMs time until which the call may be sent; `deadlineMs` by default.
   * @throws ServingError `endpoint-unreachable` when nothing was sent, else `outcome-unknown`.
   */
  abstract sendOnce(
    endpoint: FleetEndpoint,
    call: ServiceCall,
    deadlineMs: number,
    sendDeadlineMs?: number,
  ): Promise<ServiceAnswer>;

  /** Routes and sends a repeatable call, with up to as many attempts as its contract allows. */
  abstract runRepeatable(call: ServiceCall, context: CallContext): Promise<ServiceAnswer>;
}
