/**
 * Which endpoints the source has listed lately, also those that have left before this node started, and
 * those that it has listed without this node having heard of it yet.
 */
import type { BackEnd, EndpointId } from '../core';

/** What changes of the list show. @public */
export interface ListedLately {
  /** Endpoints as they were written; one that changed is contained several times. */
  readonly backEnds: ReadonlyArray<BackEnd>;
  /** Endpoints of which only the removal has been kept, so that nothing else is known of them. */
  readonly unknownRemovals: ReadonlyArray<EndpointId>;
}

/** @public */
export abstract class EndpointHistory {
  /**
   * Returns the time since this node found that the source had dropped changes which it hasn't seen;
   * infinite if it never did.
   */
  abstract getLostAgeMs(): number;

  /**
   * Reads the changes between what this node knows and the time of the call.
   * @throws ServingError when they can't be read before the signal aborts, or may be incomplete.
   */
  abstract readMissed(signal: AbortSignal): Promise<ListedLately>;

  /**
   * Reads what the source has kept of the past.
   * @throws ServingError when the source can't be read before the signal aborts.
   */
  abstract read(signal: AbortSignal): Promise<ListedLately>;
}
