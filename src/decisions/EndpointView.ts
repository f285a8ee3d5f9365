/**
 * Input and result types of a routing decision.
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
  /** This node's requests in flight there. */
  readonly reservations: ReadonlyArray<Reservation>;
  /** Whether this node recently sent the request's prompt prefix there. */
  readonly holdsPrefix: boolean;
}

/** @public */
export interface RoutingRequest {
  readonly customer: CustomerId;
  readonly kind: KindOfWork;
  /** Path of the clause, such as `kindsOfWork[0]`. */
  readonly clausePath: string;
  /** Region whose endpoints are used as long as they have capacity. */
  readonly region: string;
  readonly promptTokens: number;
  readonly excluded: ReadonlyArray<EndpointId>;
  /** Undefined for calls of services. */
  readonly forecast: LengthForecast | undefined;
}

/** @public */
export interface RoutingContext {
  readonly nowMs: number;
  /** Nodes that route to the same endpoints, including this one. */
  readonly decidingNodes: number;
}

/** @public */
export interface PassedOver {
  readonly candidate: string;
  readonly reason: string;
}

interface VerdictBase {
  /** Explanation for people without a technical background. */
  readonly reason: string;
  /** Path of the contract clause that the verdict follows from. */
  readonly clause: string;
  readonly passedOver: ReadonlyArray<PassedOver>;
  readonly measured: Readonly<Record<string, number>>;
}

/** @public */
export type RoutingVerdict =
  | (VerdictBase & { readonly outcome: 'route'; readonly endpointId: EndpointId })
  | (VerdictBase & {
      readonly outcome: 'wait';
      /** Memory lacking at the engine that is closest to having enough. */
      readonly missingTokens: number;
      /** Rate at which the requests of all nodes free memory of the usable engines. */
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
