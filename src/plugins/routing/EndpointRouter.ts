/**
 * Assignment of work to endpoints by this node's own in-flight counts.
 */
import { ServingError, type EndpointId } from '../../core';
import {
  Router,
  type Assignment,
  type DecisionLog,
  type Fleet,
  type FleetEndpoint,
  type RoutedWork,
} from '../../services';

function serves(endpoint: FleetEndpoint, { clause: { kind } }: RoutedWork): boolean {
  return kind.type === 'call'
    ? endpoint.vm.service === kind.service
    : (endpoint.vm.models ?? []).includes(kind.model);
}

/** @internal */
export class EndpointRouter extends Router {
  private readonly outstanding = new Map<EndpointId, number>();

  constructor(
    private readonly fleet: Fleet,
    private readonly decisions: DecisionLog,
  ) {
    super();
  }

  async assign(work: RoutedWork): Promise<Assignment> {
    const candidates = this.fleet.listEndpoints().filter((endpoint) => serves(endpoint, work));
    const usable = candidates
      .filter(({ assignable }) => assignable.allowed)
      .filter(({ endpointId }) => !work.excluded.includes(endpointId))
      .sort((a, b) => this.count(a) - this.count(b));
    const [chosen] = usable;
    this.decisions.record({
      requestId: work.requestId,
      customer: work.inForce.contract.customer,
      kindOfWork: work.clause.kind.name,
      contractRevision: work.inForce.revision,
      clause: work.clause.path,
      step: chosen ? 'route' : 'refuse',
      chosen: chosen?.endpointId,
      passedOver: candidates
        .filter((candidate) => candidate !== chosen)
        .map(({ endpointId, assignable }) => ({
          candidate: endpointId,
          reason: assignable.allowed ? 'more work outstanding' : assignable.reason,
        })),
      reason: chosen ? 'least work outstanding' : 'no endpoint may be assigned',
    });
    if (!chosen) {
      throw new ServingError('no-endpoint', {
        detail: `No endpoint serves ${work.clause.kind.name}.`,
        clause: work.clause.path,
      });
    }
    this.outstanding.set(chosen.endpointId, this.count(chosen) + 1);
    return {
      endpoint: chosen,
      noteTokens: () => {},
      release: () => this.outstanding.set(chosen.endpointId, this.count(chosen) - 1),
    };
  }

  private count({ endpointId }: FleetEndpoint): number {
    return this.outstanding.get(endpointId) ?? 0;
  }
}
