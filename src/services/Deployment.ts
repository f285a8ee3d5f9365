/**
 * The configuration in force and the endpoints, as this node knows them.
 */
import type { BackEnd, EndpointId, ServingBounds, ServingConfiguration } from '../core';

/** An endpoint with what the node knows of its leaving. @public */
export interface KnownBackEnd extends BackEnd {
  /** Monotonic time since which it may get no new work; undefined while it may. */
  readonly leavingSinceMs: number | undefined;
  /** Monotonic time until which it works slowly after its start. */
  readonly warmUpUntilMs: number;
}

/** @public */
export abstract class Deployment {
  abstract readonly bounds: ServingBounds;

  abstract readonly configuration: ServingConfiguration | undefined;

  /**
   * Age of the newest proof that nothing newer was published. Infinite when there was none, and
   * after a suspension of the machine, whose length the monotonic clock doesn't show.
   */
  abstract getConfirmedAgeMs(): number;

  /** Endpoints of a service that may get new work. */
  abstract listAssignable(service: string): ReadonlyArray<KnownBackEnd>;

  /** Endpoints that are known, also those that are leaving. */
  abstract listAll(): ReadonlyArray<KnownBackEnd>;

  abstract find(endpointId: EndpointId): KnownBackEnd | undefined;

  /** Region of a data centre; undefined for one that the settings don't name. */
  abstract getRegion(dataCentre: string): string | undefined;

  /** Calls the listener whenever an endpoint starts to leave or is replaced by a new start of it. */
  abstract onLeaving(listener: (backEnd: KnownBackEnd) => void): void;

  /** Calls the listener after a newer configuration was taken. */
  abstract onConfiguration(listener: (configuration: ServingConfiguration) => void): void;
}
