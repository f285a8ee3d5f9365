/**
 * Which endpoints hold the start of a prompt, and what that is worth.
 */
import type { EndpointId } from '../core';
import { ROUTING_OPTIONS, type RoutingOptions } from './options';

/** Time saved at an endpoint that holds the prompt's prefix. */
export function computeSavedPrefillMs(
  promptTokens: number,
  { prefillTokensPerMs }: Pick<RoutingOptions, 'prefillTokensPerMs'>,
): number {
  return promptTokens / prefillTokensPerMs;
}

/** Time that a generation loses by running beside more others. */
export function computeExtraWaitMs(
  extraRunning: number,
  outputTokens: number,
  { gapMsPerRunning }: Pick<RoutingOptions, 'gapMsPerRunning'>,
): number {
  return Math.max(0, extraRunning) * gapMsPerRunning * outputTokens;
}

/** Endpoints to which this node lately sent each prefix; bounded. @public */
export class RecentPrefixes {
  /** The order of insertion is the order of use. */
  private readonly endpointsByPrefix = new Map<string, ReadonlyArray<EndpointId>>();

  constructor(
    private readonly options: Pick<
      RoutingOptions,
      'maxPrefixes' | 'endpointsPerPrefix'
    > = ROUTING_OPTIONS,
  ) {}

  record(prefixHash: string, endpointId: EndpointId): void {
    const others = this.find(prefixHash).filter((held) => held !== endpointId);
    this.endpointsByPrefix.delete(prefixHash);
    this.endpointsByPrefix.set(
      prefixHash,
      [endpointId, ...others].slice(0, this.options.endpointsPerPrefix),
    );
    const [oldest] = this.endpointsByPrefix.keys();
    if (this.endpointsByPrefix.size > this.options.maxPrefixes && oldest !== undefined) {
      this.endpointsByPrefix.delete(oldest);
    }
  }

  find(prefixHash: string | undefined): ReadonlyArray<EndpointId> {
    if (prefixHash === undefined) return [];
    return this.endpointsByPrefix.get(prefixHash) ?? [];
  }
}
