/**
 * What a routing decision sees: the request, the endpoints and what is known of them.
 */
import type { CustomerId, EndpointId, EndpointReport, KindOfWork, Vm } from '../core';
import type { Assignability } from './assignability';
import type { Reservation } from './InFlightReservations';
import type { LengthForecast } from './LengthEstimator';

/** @public */
export interface EndpointView {
  readonly endpointId: EndpointId;
  readonly vm: Vm;
  readonly report: EndpointReport | undefined;
  readonly reportAgeMs: number;
  readonly assignable: Assignability;
  /** This node's own work there. */
  readonly reservations: ReadonlyArray<Reservation>;
  /** Whether the node lately sent the request's prefix there. */
  readonly holdsPrefix: boolean;
}

/** @public */
export interface RoutingRequest {
  readonly customer: CustomerId;
  readonly kind: KindOfWork;
  /** Path of the clause, such as `kindsOfWork[0]`. */
  readonly clausePath: string;
  /** Region whose endpoints are used as long as they have room. */
  readonly region: string;
  readonly promptTokens: number;
  readonly excluded: ReadonlyArray<EndpointId>;
  /** Undefined for calls of services. */
  readonly forecast: LengthForecast | undefined;
}

/** @public */
export interface RoutingContext {
  readonly nowMs: number;
  /** Nodes that decide on the same endpoints, this one included. */
  readonly decidingNodes: number;
}

/** @public */
export interface PassedOver {
  readonly candidate: string;
  readonly reason: string;
}

interface VerdictBase {
  /** Plain words for a manager. */
  readonly reason: string;
  /** The clause of the contract that the verdict follows from. */
  readonly clause: string;
  readonly passedOver: ReadonlyArray<PassedOver>;
  readonly measured: Readonly<Record<string, number>>;
}

/** @public */
export type RoutingVerdict =
  | (VerdictBase & { readonly outcome: 'route'; readonly endpointId: EndpointId })
  | (VerdictBase & {
      readonly outcome: 'wait';
      /** Memory that the engine that comes closest lacks. */
      readonly missingTokens: number;
      /** Rate at which work of all nodes gives memory back at the usable engines. */
      readonly fleetFreedTokensPerMs: number;
    })
  | (VerdictBase & { readonly outcome: 'refuse' });

/** Whether the endpoint offers the model or service of the clause. */
export function servesKind(
  { vm, report }: Pick<EndpointView, 'vm' | 'report'>,
  kind: KindOfWork,
): boolean {
  if (kind.type === 'call') return vm.service === kind.service;
  return (report?.models ?? vm.models ?? []).includes(kind.model);
}
