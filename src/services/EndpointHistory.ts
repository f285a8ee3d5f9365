/**
 * Which endpoints the source has listed lately, also those that have left before this node started.
 */
import type { BackEnd, EndpointId } from '../core';

/** What the history of the list shows, as far back as the source has kept it. @public */
export interface ListedLately {
  /** Endpoints as they were written; one that changed is contained several times. */
  readonly backEnds: ReadonlyArray<BackEnd>;
  /** Endpoints of which only the removal has been kept, so that nothing else is known of them. */
  readonly unknownRemovals: ReadonlyArray<EndpointId>;
}

/** @public */
export abstract class EndpointHistory {
  /** @throws ServingError when the source can't be read before the signal aborts. */
  abstract read(signal: AbortSignal): Promise<ListedLately>;
}
