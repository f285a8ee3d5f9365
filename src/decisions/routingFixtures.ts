/** Endpoints and requests for tests of routing. */
import { generationKindSchema, vmSchema, type EndpointId, type GenerationKind } from '../core';
import type { EndpointView, RoutingRequest } from './EndpointView';

export const GENERATION_KIND: GenerationKind = generationKindSchema.parse({
  name: 'audit-summary',
  type: 'generation',
  model: 'summary-1',
  rank: 2,
  delivery: 'streamed',
  whenCallerLeaves: 'finish',
  maxOutputTokens: 1_000,
  maxWaitMs: 1_000,
});

/** Creates an assignable, idle engine, named by `index`. @internal */
export function createEngineView(
  index: number,
  overrides: Partial<EndpointView> = {},
): EndpointView {
  const name = `engine-${index}`;
  return {
    endpointId: name as EndpointId,
    vm: vmSchema.parse({
      vmId: name,
      role: 'engine',
      url: 'http://127.0.0.1:9',
      dataCentre: 'brisbane',
      region: 'seq',
      state: 'live',
      models: [GENERATION_KIND.model],
    }),
    report: {
      memoryUsedTokens: 0,
      memoryTotalTokens: 10_000,
      running: 0,
      waiting: 0,
      preemptions: 0,
      leaving: false,
      models: [GENERATION_KIND.model],
    },
    reportAgeMs: 0,
    assignable: { allowed: true },
    reservations: [],
    holdsPrefix: false,
    ...overrides,
  };
}

/** @internal */
export function createRequest(overrides: Partial<RoutingRequest> = {}): RoutingRequest {
  return {
    customer: 'cafe' as RoutingRequest['customer'],
    kind: GENERATION_KIND,
    clausePath: 'kindsOfWork[0]',
    region: 'seq',
    promptTokens: 100,
    excluded: [],
    forecast: {
      predictRemainingTokens: () => 500,
      computeSurvival: (_produced, horizons) => horizons.map((tokens) => (tokens <= 500 ? 1 : 0)),
      getBasis: () => 'contract',
    },
    ...overrides,
  };
}
