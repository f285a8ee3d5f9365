/**
 * A node with engines in several data centres, for tests of placements.
 */
import type {
  AllowedRegions,
  CallerRequestId,
  CustomerId,
  EndpointId,
  FrontSettings,
} from '../../core';
import { EndpointHealth, EndpointPace, EndpointSpeeds } from '../../decisions';
import { BOUNDS, createConfiguration, createRoute } from '../../decisions/servingFixtures';
import { TestKernel } from '../../kernel/TestKernel';
import {
  Deployment,
  FrontSettingsStore,
  Members,
  ServingMetrics,
  type KnownBackEnd,
} from '../../services';
import { DeploymentStore } from '../deployment/DeploymentStore';
import { ColdQuotas } from './ColdQuotas';
import { EndpointQuotas } from './EndpointQuotas';
import type { EndpointConnections } from './EndpointConnections';
import { EndpointPlacer, type PlacementInput } from './EndpointPlacer';
import { LocalLoad } from './LocalLoad';
import { OutputEstimator } from './OutputEstimator';

const NO_LOAD = {
  requests: 0,
  heldTokens: 0,
  finalTokens: 0,
  pendingPrefillTokens: 0,
  paceSumMs: 0,
  paceCount: 0,
};

const REGIONS = new Map([
  ['brisbane', 'seq'],
  ['gympie', 'seq'],
  ['cairns', 'fnq'],
]);

export const ENGINES = {
  seq: 'i-brisbane',
  seq2: 'i-gympie',
  fnq: 'i-cairns',
  nowhere: 'i-nowhere',
};

export function configure(
  version: number,
  allowedRegions: AllowedRegions,
): PlacementInput['configuration'] {
  const engine = { memoryTokens: 9_000, canMigrate: true, canBackUp: true, tokensPerEvent: 4 };
  const service = {
    name: 'writers',
    maxConnections: 100,
    coldRequestsPerSecond: undefined,
    engine,
  };
  const routes = [createRoute({ name: 'report', allowedRegions })];
  return createConfiguration({ version, routes, services: new Map([['writers', service]]) });
}

export interface Scene {
  readonly kernel: TestKernel;
  readonly store: DeploymentStore;
  readonly placer: EndpointPlacer;
  readonly work: PlacementInput;
}

/** Creates a node with an engine in each data centre, and one in a data centre without a region. */
export function createScene(allowedRegions: AllowedRegions, slots = 4): Scene {
  const metrics = { countRegionConstraint: () => {}, countQuotaRequest: () => {} };
  const kernel = new TestKernel([], { dataCentre: 'brisbane' });
  const store = new DeploymentStore(kernel, BOUNDS, REGIONS);
  const estimator = new OutputEstimator();
  const pace = new EndpointPace();
  kernel.provide(Deployment, store);
  const settings = { scheduling: { promptPacing: 'auto' } } as FrontSettings;
  kernel.provide(FrontSettingsStore, { settings });
  kernel.provide(ServingMetrics, metrics as unknown as ServingMetrics);
  kernel.provide(Members, {
    getLoadOfOthers: () => NO_LOAD,
    getLoadAgeMs: () => 0,
    countSharingNodes: () => 1,
    announce: () => {},
  } as unknown as Members);
  const placer = new EndpointPlacer(kernel, estimator, {
    connections: { countBusy: () => 0 } as unknown as EndpointConnections,
    localLoad: new LocalLoad(estimator, pace, kernel.clock),
    health: new EndpointHealth(),
    pace,
    speeds: new EndpointSpeeds(),
    quotas: new EndpointQuotas(kernel, [new ColdQuotas(kernel)], () => {}),
  });
  const configuration = configure(1, allowedRegions);
  const work: PlacementInput = {
    requestId: 'r-1' as CallerRequestId,
    customer: 'cafe-1' as CustomerId,
    routeName: 'report',
    prompt: { promptTokens: 400, maxOutputTokens: 400, expectedOutputTokens: 400 },
    configuration,
    service: 'writers',
    rank: 1,
    latencyGoalMs: 1_000,
    sharedPrompt: [],
    arrivedAtMs: 0,
  };
  store.setConfiguration(configuration, { key: '', text: '', position: { era: 1, revision: 2 } });
  Object.values(ENGINES).forEach((id, index) => {
    const backEnd = {
      endpointId: id as EndpointId,
      service: 'writers',
      address: `10.0.0.${index}:80`,
      dataCentre: id.slice(2),
      slots,
      isLeaving: false,
      warmUpMs: 0,
      startedAtWallMs: 1,
    };
    const position = { era: 1, revision: 3 + index };
    store.applyEndpoint(backEnd, { key: id, text: '', position });
  });
  return { kernel, store, placer, work };
}

export function find({ store }: Scene, id: string): KnownBackEnd {
  const known = store.find(id as EndpointId);
  if (!known) throw new Error(`There is no endpoint ${id}.`);
  return known;
}
