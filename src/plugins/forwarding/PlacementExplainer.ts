/**
 * Explains to an operator where a request would go now, by the decisions that real requests get,
 * without sending or reserving anything.
 */
import {
  ServingError,
  type CallerRequestId,
  type KeyHolder,
  type Route,
  type ServingConfiguration,
} from '../../core';
import { admitToRoute, type ExplainedPlacement } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment } from '../../services';
import type { EndpointPlacer, PlacementInput } from './EndpointPlacer';
import { FORWARDING_OPTIONS } from './options';

/** A request as an operator describes it. @internal */
export interface DescribedRequest {
  readonly host: string;
  readonly path: string;
  readonly apiKey: string | undefined;
  /** Used instead of a key. */
  readonly customer: string | undefined;
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number;
}

/** @internal */
export interface ExplainedService {
  readonly service: string;
  /** Share of the route's requests that go to the service. */
  readonly share: number;
  readonly placement: ExplainedPlacement;
}

/** @internal */
export interface ExplainedRequest {
  readonly route: string;
  readonly customer: string | undefined;
  readonly rank: number;
  readonly configurationVersion: number;
  readonly services: ReadonlyArray<ExplainedService>;
}

const REQUEST_ID = 'explained-request' as CallerRequestId;

/** @internal */
export class PlacementExplainer {
  constructor(
    private readonly kernel: Kernel,
    private readonly placer: EndpointPlacer,
  ) {}

  /** @throws ServingError if the request would be refused before its placement. */
  explain(request: DescribedRequest): ExplainedRequest {
    const { configuration, route, holder } = this.admit(request);
    const { customer } = holder ?? {};
    const rank = holder?.rank ?? route.rank;
    const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
    const services = route.targets
      .filter(({ weight }) => weight > 0)
      .map(({ service, weight }) => {
        const work = this.createWork(request, { configuration, route, customer, rank, service });
        const placement = this.placer.explain(work, route.delivery === 'stream');
        return { service, share: weight / total, placement };
      });
    const configurationVersion = configuration.version;
    return { route: route.name, customer, rank, configurationVersion, services };
  }

  private admit({ host, path, apiKey, customer }: DescribedRequest): {
    readonly configuration: ServingConfiguration;
    readonly route: Route;
    readonly holder: KeyHolder | undefined;
  } {
    const deployment = this.kernel.get(Deployment);
    const { configuration, bounds } = deployment;
    const keys = [...(configuration?.keyHolders ?? [])];
    const keyOfCustomer = keys.find(([, holder]) => holder.customer === customer)?.[0];
    const confirmedAgeMs = deployment.getConfirmedAgeMs();
    const knownRegions = deployment.listRegions();
    const view = { configuration, confirmedAgeMs, bounds, host, target: path, knownRegions };
    const verdict = admitToRoute({ ...view, apiKey: apiKey ?? keyOfCustomer }, FORWARDING_OPTIONS);
    if (verdict.outcome === 'admit') return verdict;
    const { kind, detail, clause } = verdict;
    throw new ServingError(kind, { detail, clause });
  }

  private createWork(
    { promptTokens, maxOutputTokens }: DescribedRequest,
    terms: Pick<PlacementInput, 'configuration' | 'customer' | 'rank' | 'service'> & {
      readonly route: Route;
    },
  ): PlacementInput {
    const { route, ...work } = terms;
    const expectedOutputTokens = undefined;
    return {
      ...work,
      requestId: REQUEST_ID,
      routeName: route.name,
      latencyGoalMs: route.latencyGoalMs,
      prompt:
        promptTokens === undefined
          ? undefined
          : { promptTokens, maxOutputTokens, expectedOutputTokens },
      sharedPrompt: [],
      arrivedAtMs: this.kernel.clock.nowMs(),
    };
  }
}
