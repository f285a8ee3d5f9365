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
  /** Endpoints that have already failed for this request. */
  readonly excluded: ReadonlyArray<EndpointId>;
}

/** An endpoint with this node's reservation on it. @public */
export interface Assignment {
  readonly endpoint: FleetEndpoint;
  /** Reports the tokens produced so far, which adjusts the reservation to the remaining length. */
  readonly reportTokens: (outputTokens: number) => void;
  /**
   * Frees the reservation. The length estimator learns the output length only if `complete`, not
   * from a failed or cancelled generation.
   */
  readonly release: (outcome: {
    readonly complete: boolean;
    readonly outputTokens: number;
  }) => void;
}

/** @public */
export abstract class Router {
  /**
   * Chooses an endpoint. Waits in rank order for capacity, for as long as the contract allows.
   * @throws ServingError `overloaded`, `no-endpoint`.
   */
  abstract assign(work: RoutedWork, signal: AbortSignal): Promise<Assignment>;
}
