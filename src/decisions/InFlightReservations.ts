/**
 * This node's requests in flight, by endpoint.
 *
 * They supplement an endpoint's report, which doesn't yet include what was sent since it was taken.
 */
import type { EndpointId } from '../core';
import type { LengthForecast } from './LengthEstimator';

/** Capacity reserved for one request at an endpoint. @public */
export interface Reservation {
  readonly endpointId: EndpointId;
  readonly startedAtMs: number;
  readonly rank: number;
  readonly promptTokens: number;
  /** Tokens that this node has received so far. */
  readonly producedTokens: number;
  /** Undefined for calls of services. */
  readonly forecast: LengthForecast | undefined;
}

/** Identifies a reservation until it is released. @public */
export type ReservationHandle = symbol;

const NONE: ReadonlyArray<Reservation> = [];

/** @public */
export class InFlightReservations {
  private readonly byEndpoint = new Map<EndpointId, Map<ReservationHandle, Reservation>>();

  add(reservation: Reservation): ReservationHandle {
    const handle = Symbol('reservation');
    const held = this.byEndpoint.get(reservation.endpointId) ?? new Map();
    held.set(handle, reservation);
    this.byEndpoint.set(reservation.endpointId, held);
    return handle;
  }

  /** Raises the number of produced tokens; ignored after the release. */
  recordTokens(endpointId: EndpointId, handle: ReservationHandle, producedTokens: number): void {
    const held = this.byEndpoint.get(endpointId);
    const reservation = held?.get(handle);
    if (!held || !reservation || producedTokens <= reservation.producedTokens) return;
    held.set(handle, { ...reservation, producedTokens });
  }

  /** Returns the released reservation; undefined if it was released before. */
  release(endpointId: EndpointId, handle: ReservationHandle): Reservation | undefined {
    const held = this.byEndpoint.get(endpointId);
    const reservation = held?.get(handle);
    held?.delete(handle);
    if (held?.size === 0) this.byEndpoint.delete(endpointId);
    return reservation;
  }

  list(endpointId: EndpointId): ReadonlyArray<Reservation> {
    const held = this.byEndpoint.get(endpointId);
    return held ? [...held.values()] : NONE;
  }

  get size(): number {
    return [...this.byEndpoint.values()].reduce((sum, held) => sum + held.size, 0);
  }
}
