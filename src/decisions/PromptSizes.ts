/**
 * Learns the usual size of prompts, as their mean plus their mean deviation.
 */
const OBSERVATION_WEIGHT = 0.05;

interface SizeRecord {
  readonly meanTokens: number;
  readonly deviationTokens: number;
}

/** @public */
export class PromptSizes {
  private readonly records = new Map<string, SizeRecord>();

  observe(service: string, tokens: number): void {
    const before = this.records.get(service) ?? { meanTokens: tokens, deviationTokens: 0 };
    const difference = tokens - before.meanTokens;
    const deviation = Math.abs(difference) - before.deviationTokens;
    this.records.set(service, {
      meanTokens: before.meanTokens + difference * OBSERVATION_WEIGHT,
      deviationTokens: before.deviationTokens + deviation * OBSERVATION_WEIGHT,
    });
  }

  /** Returns 0 before the first observation. */
  getUsual(service: string): number {
    const { meanTokens, deviationTokens } = this.records.get(service) ?? {
      meanTokens: 0,
      deviationTokens: 0,
    };
    return meanTokens + deviationTokens;
  }
}
