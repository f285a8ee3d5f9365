/**
 * Quotas that limit what endpoints get from all nodes together.
 */
import type { ServingConfiguration } from '../../core';
import type { NodeRoster, RequestQuota } from '../../decisions';
import type { KnownBackEnd } from '../../services';

/** @internal */
export interface QuotaInForce extends RequestQuota {
  /** The nodes among which it is divided. */
  readonly roster: NodeRoster;
  /** Lower bound for this node's share; none if absent. */
  readonly minShare?: number;
  /** Upper bound for this node's share, by what other nodes use; none if absent. */
  readonly maxShare?: number;
  /** Monotonic time at which it ends; infinite if that isn't known. */
  readonly endsAtMs: number;
}

/** One reason to limit what an endpoint gets. @internal */
export abstract class QuotaSource {
  /** Returns the quota of an endpoint; undefined while this reason doesn't limit it. */
  abstract find(
    backEnd: KnownBackEnd,
    configuration: ServingConfiguration,
  ): QuotaInForce | undefined;
}
