/**
 * Gauges of the prompt work at the engines of services where prompts are paced.
 */
import type { Kernel } from '../../kernel';
import { Deployment, GaugeSource, Members, type GaugeReading } from '../../services';
import type { LocalLoad } from './LocalLoad';
import type { PromptPacer } from './PromptPacer';

/** @internal */
export class PromptGauges extends GaugeSource {
  constructor(
    private readonly kernel: Kernel,
    private readonly pacer: PromptPacer,
    private readonly localLoad: LocalLoad,
  ) {
    super();
  }

  listGauges(): ReadonlyArray<GaugeReading> {
    const { configuration } = this.kernel.get(Deployment);
    if (!configuration) return [];
    return [...configuration.services.keys()].flatMap((service) => {
      const limitTokens = this.pacer.findLimit({ configuration, service });
      return limitTokens === undefined ? [] : this.describeService(service, limitTokens);
    });
  }

  private describeService(service: string, limitTokens: number): ReadonlyArray<GaugeReading> {
    const labels = { service };
    const pending = this.listPending(service);
    return [
      {
        name: 'prompt_limit_tokens',
        help: 'Prompt work at an engine up to which a patient prompt starts there.',
        value: limitTokens,
        labels,
      },
      {
        name: 'prompt_tokens_in_flight',
        help: 'Prompt tokens at the engines of a service that are not yet prefilled.',
        value: pending.reduce((sum, tokens) => sum + tokens, 0),
        labels,
      },
      {
        name: 'prompt_tokens_in_flight_max',
        help: 'The same at the engine that has the most.',
        value: Math.max(0, ...pending),
        labels,
      },
    ];
  }

  private listPending(service: string): ReadonlyArray<number> {
    const members = this.kernel.get(Members);
    return this.kernel
      .get(Deployment)
      .listAssignable(service)
      .map(({ endpointId }) => {
        const own = this.localLoad.getLoad(endpointId);
        const others = members.getLoadOfOthers(endpointId);
        return own.pendingPrefillTokens + others.pendingPrefillTokens;
      });
  }
}
