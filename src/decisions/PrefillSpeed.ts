/**
 * Estimates the prefill speed of a service's engines from the delays of first events.
 *
 * An engine prefills prompts in chunks between the tokens of other requests, so the speed is
 * measured under load and not on an idle engine.
 */

export const PREFILL_OPTIONS = {
  /** Speed before the first observation. */
  initialTokensPerMs: 8,
  /** Weight of the newest observation. */
  observationWeight: 0.05,
  /** Minimum prompt tokens of an observation; network latency dominates the delay of fewer. */
  minTokens: 1_500,
  /** Bounds of an observed speed, which limit the effect of outliers. */
  minTokensPerMs: 1,
  maxTokensPerMs: 40,
} as const;

/** @public */
export class PrefillSpeed {
  private readonly speeds = new Map<string, number>();

  get(service: string): number {
    return this.speeds.get(service) ?? PREFILL_OPTIONS.initialTokensPerMs;
  }

  /** @param tokens of the prompt and of the prompts queued before it at the engine. */
  observe(service: string, tokens: number, delayMs: number): void {
    const { minTokens, observationWeight, minTokensPerMs, maxTokensPerMs } = PREFILL_OPTIONS;
    if (tokens < minTokens || delayMs <= 0) return;
    const speed = Math.min(maxTokensPerMs, Math.max(minTokensPerMs, tokens / delayMs));
    this.speeds.set(
      service,
      this.get(service) * (1 - observationWeight) + speed * observationWeight,
    );
  }
}
