/**
 * Base class of the routing policies, and their registry.
 *
 * The base class excludes endpoints that can't serve the request; a policy chooses among the rest.
 */
import {
  servesKind,
  type EndpointView,
  type PassedOver,
  type RoutingContext,
  type RoutingRequest,
  type RoutingVerdict,
} from './EndpointView';
import { ROUTING_OPTIONS, type RoutingOptions } from './options';
import type { SeededRandom } from './SeededRandom';

/** A choice among usable endpoints, before the base class adds the excluded ones. @public */
export type PolicyChoice =
  | {
      readonly outcome: 'route';
      readonly chosen: EndpointView;
      readonly reason: string;
      readonly clause: string;
      readonly passedOver: ReadonlyArray<PassedOver>;
      readonly measured: Readonly<Record<string, number>>;
    }
  | Extract<RoutingVerdict, { outcome: 'wait' }>;

/** Path of the clause that names the model or service. */
export function getServedClause({ kind, clausePath }: RoutingRequest): string {
  return kind.type === 'call' ? `${clausePath}.service` : `${clausePath}.model`;
}

function explainUnusable({ endpointId, assignable }: EndpointView): PassedOver {
  return {
    candidate: endpointId,
    reason: assignable.allowed ? 'it failed for this request already' : assignable.reason,
  };
}

/** @public */
export abstract class RoutingPolicy {
  /** Unique name of the policy. */
  static readonly type: string;

  protected readonly options: RoutingOptions;

  constructor(
    protected readonly random: SeededRandom,
    options: Partial<RoutingOptions> = {},
  ) {
    this.options = { ...ROUTING_OPTIONS, ...options };
  }

  decide(
    request: RoutingRequest,
    endpoints: ReadonlyArray<EndpointView>,
    context: RoutingContext,
  ): RoutingVerdict {
    const serving = endpoints.filter((endpoint) => servesKind(endpoint, request.kind));
    const isUsable = (endpoint: EndpointView): boolean =>
      endpoint.assignable.allowed && !request.excluded.includes(endpoint.endpointId);
    const usable = serving.filter(isUsable);
    const unusable = serving.filter((endpoint) => !isUsable(endpoint));
    if (usable.length === 0) return this.refuse(request, unusable);
    const choice = this.choose(request, usable, context);
    const passedOver = this.limitPassedOver([
      ...unusable.slice(0, this.options.maxPassedOver / 2).map(explainUnusable),
      ...choice.passedOver,
    ]);
    if (choice.outcome === 'wait') return { ...choice, passedOver };
    const { chosen, reason, clause, measured } = choice;
    return {
      outcome: 'route',
      endpointId: chosen.endpointId,
      reason,
      clause,
      passedOver,
      measured: { ...measured, usableEndpoints: usable.length, unusableEndpoints: unusable.length },
    };
  }

  /** Chooses among at least one usable endpoint. */
  protected abstract choose(
    request: RoutingRequest,
    usable: ReadonlyArray<EndpointView>,
    context: RoutingContext,
  ): PolicyChoice;

  /** Creates a choice with the same reason for every endpoint that was passed over. */
  protected route(
    request: RoutingRequest,
    chosen: EndpointView,
    usable: ReadonlyArray<EndpointView>,
    reasons: { readonly reason: string; readonly passedOver: string },
  ): PolicyChoice {
    return {
      outcome: 'route',
      chosen,
      reason: reasons.reason,
      clause: getServedClause(request),
      passedOver: usable
        .slice(0, this.options.maxPassedOver + 1)
        .filter((endpoint) => endpoint !== chosen)
        .map(({ endpointId }) => ({ candidate: endpointId, reason: reasons.passedOver })),
      measured: { ownOutstanding: chosen.reservations.length },
    };
  }

  protected limitPassedOver(passedOver: ReadonlyArray<PassedOver>): ReadonlyArray<PassedOver> {
    return passedOver.slice(0, this.options.maxPassedOver);
  }

  private refuse(request: RoutingRequest, unusable: ReadonlyArray<EndpointView>): RoutingVerdict {
    const clause = getServedClause(request);
    const found = unusable.length === 0 ? 'none is listed' : 'none accepts new work';
    return {
      outcome: 'refuse',
      reason: `No endpoint can serve ${request.kind.name} (${clause}): ${found}.`,
      clause,
      passedOver: this.limitPassedOver(unusable.map(explainUnusable)),
      measured: { usableEndpoints: 0, unusableEndpoints: unusable.length },
    };
  }
}

/** @public */
export type RoutingPolicyClass = (new (
  random: SeededRandom,
  options?: Partial<RoutingOptions>,
) => RoutingPolicy) & { readonly type: string };

const registered = new Map<string, RoutingPolicyClass>();

/** Registers a policy under its `type`. @public */
export function registerRoutingPolicy(policyClass: RoutingPolicyClass): void {
  registered.set(policyClass.type, policyClass);
}

export function getRegisteredRoutingPolicies(): ReadonlyArray<RoutingPolicyClass> {
  return [...registered.values()];
}

/** Returns the endpoint with the fewest requests of this node; the first of equals. */
export function findLeastOutstanding(
  endpoints: ReadonlyArray<EndpointView>,
): EndpointView | undefined {
  return endpoints.reduce<EndpointView | undefined>(
    (best, endpoint) =>
      !best || endpoint.reservations.length < best.reservations.length ? endpoint : best,
    undefined,
  );
}
