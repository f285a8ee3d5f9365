/**
 * The configuration in force and the known endpoints, as last received by this node.
 */
import type { BackEnd, EndpointId, ServingBounds, ServingConfiguration } from '../core';

/** An endpoint, with the times at which it began to leave and ends its warm-up. @public */
export interface KnownBackEnd extends BackEnd {
  /** Monotonic time since which it gets no new work; undefined while it may get some. */
  readonly leavingSinceMs: number | undefined;
  /** Monotonic time until which it is slow after its start. */
  readonly warmUpUntilMs: number;
}

/** @public */
export abstract class Deployment {
  abstract readonly bounds: ServingBounds;

  abstract readonly configuration: ServingConfiguration | undefined;

  /**
   * Returns the time since the configuration was last confirmed to be current. Infinite without a
   * confirmation, and after a suspension of the machine, which the monotonic clock does not count.
   */
  abstract getConfirmedAgeMs(): number;

  /**
   * How many times changes of the list of endpoints may have been missed, so that an endpoint may have
   * come and gone unseen. A list that is only late misses nothing.
   */
  abstract readonly listGaps: number;

  /** Returns the endpoints of a service that may get new work. */
  abstract listAssignable(service: string): ReadonlyArray<KnownBackEnd>;

  /** Returns all known endpoints, including those that are leaving. */
  abstract listAll(): ReadonlyArray<KnownBackEnd>;

  abstract find(endpointId: EndpointId): KnownBackEnd | undefined;

  /**
   * Records that an answer of an endpoint's process said that it is leaving.
   * @param backEnd the endpoint as it was known when the request was sent.
   */
  abstract recordLeavingAnswer(backEnd: KnownBackEnd): void;

  /**
   * Records that an answer of an endpoint's process said for how much longer it is cold.
   * @param backEnd the endpoint as it was known when the request was sent.
   */
  abstract recordColdAnswer(backEnd: KnownBackEnd, remainingMs: number): void;

  /** Returns the region of a data centre; undefined if the settings do not contain it. */
  abstract getRegion(dataCentre: string): string | undefined;

  /** Returns the regions that the settings contain. */
  abstract listRegions(): ReadonlySet<string>;

  /**
   * Returns the monotonic time since which the endpoints of a data centre get no new work because the
   * operator has evacuated it; undefined without such an order.
   */
  abstract getEvacuatedSinceMs(dataCentre: string): number | undefined;

  /** Calls the listener after a data centre was evacuated or taken back. */
  abstract onEvacuation(listener: () => void): void;

  /** Calls the listener whenever an endpoint begins to leave or has restarted. */
  abstract onLeaving(listener: (backEnd: KnownBackEnd) => void): void;

  /** Calls the listener after a newer configuration was applied. */
  abstract onConfiguration(listener: (configuration: ServingConfiguration) => void): void;
}
