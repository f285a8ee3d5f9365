/**
 * Assignment of work to endpoints.
 */
import type { EndpointId, KindClause, RequestId } from '../core';
import type { ContractInForce } from './ContractStore';
import type { FleetEndpoint } from './Fleet';

/** @public */
export interface RoutedWork {
  readonly requestId: RequestId;
  readonly inForce: ContractInForce;
  readonly clause: KindClause;
  /** Tokens of the prompt; 0 for calls. */
  readonly promptTokens: number;
  /** Hash of the prompt's first part, for prefix affinity. */
  readonly prefixHash: string | undefined;
  /** Endpoints that failed for this request already. */
  readonly excluded: ReadonlyArray<EndpointId>;
}

/** An endpoint with the node's own reservation on it. @public */
export interface Assignment {
  readonly endpoint: FleetEndpoint;
  /** Notes tokens made so far, so that the reservation follows the remaining length. */
  readonly reportTokens: (outputTokens: number) => void;
  /**
   * Frees the reservation. `complete` teaches the length estimator the output length; a failure or
   * a cancelled generation does not.
   */
  readonly release: (outcome: {
    readonly complete: boolean;
    readonly outputTokens: number;
  }) => void;
}

/** @public */
export abstract class Router {
  /**
   * Chooses an endpoint, waiting in rank order for room within the wait that the contract allows.
   * @throws ServingError `overloaded`, `no-endpoint`.
   */
  abstract assign(work: RoutedWork, signal: AbortSignal): Promise<Assignment>;
}
