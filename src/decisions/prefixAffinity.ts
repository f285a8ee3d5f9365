/**
 * Prefix affinity: tracks which endpoints have a prompt prefix cached, and computes the time that
 * this saves.
 */
import { EvictingMap, type EndpointId } from '../core';
import { ROUTING_OPTIONS, type RoutingOptions } from './options';

/** Prefill time saved at an endpoint that has the prompt's prefix cached. */
export function computeSavedPrefillMs(
  promptTokens: number,
  { prefillTokensPerMs }: Pick<RoutingOptions, 'prefillTokensPerMs'>,
): number {
  return promptTokens / prefillTokensPerMs;
}

/** Time by which a generation is slowed down by additional running generations. */
export function computeExtraWaitMs(
  extraRunning: number,
  outputTokens: number,
  { gapMsPerRunning }: Pick<RoutingOptions, 'gapMsPerRunning'>,
): number {
  return Math.max(0, extraRunning) * gapMsPerRunning * outputTokens;
}

/** Endpoints to which this node recently sent each prefix; an LRU cache. @public */
export class RecentPrefixes {
  /** Least recently used first. */
  private readonly endpointsByPrefix: EvictingMap<string, ReadonlyArray<EndpointId>>;

  constructor(
    private readonly options: Pick<
      RoutingOptions,
      'maxPrefixes' | 'endpointsPerPrefix'
    > = ROUTING_OPTIONS,
  ) {
    this.endpointsByPrefix = new EvictingMap(options.maxPrefixes);
  }

  add(prefixHash: string, endpointId: EndpointId): void {
    const others = this.find(prefixHash).filter((held) => held !== endpointId);
    this.endpointsByPrefix.setNewest(
      prefixHash,
      [endpointId, ...others].slice(0, this.options.endpointsPerPrefix),
    );
  }

  find(prefixHash: string | undefined): ReadonlyArray<EndpointId> {
    if (prefixHash === undefined) return [];
    return this.endpointsByPrefix.get(prefixHash) ?? [];
  }
}
