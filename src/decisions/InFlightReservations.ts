/**
 * The work that this node has under way, by endpoint.
 *
 * A report of an endpoint lags behind; what the node itself has sent since then is known here.
 */
import type { EndpointId } from '../core';
import type { LengthForecast } from './LengthEstimator';

/** Room that one request takes at an endpoint. @public */
export interface Reservation {
  readonly endpointId: EndpointId;
  readonly startedAtMs: number;
  readonly rank: number;
  readonly promptTokens: number;
  /** Tokens made so far, as the node has seen them. */
  readonly producedTokens: number;
  /** Undefined for calls of services. */
  readonly forecast: LengthForecast | undefined;
}

/** Names a reservation until it is released. @public */
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

  /** Raises the number of tokens made; ignored after the release. */
  recordTokens(endpointId: EndpointId, handle: ReservationHandle, producedTokens: number): void {
    const held = this.byEndpoint.get(endpointId);
    const reservation = held?.get(handle);
    if (!held || !reservation || producedTokens <= reservation.producedTokens) return;
    held.set(handle, { ...reservation, producedTokens });
  }

  /** Returns the reservation that ended; undefined when it was released before. */
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
