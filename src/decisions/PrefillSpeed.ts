/**
 * How fast the engines of a service read prompts, learnt from the delays of first events.
 *
 * An engine reads prompts in chunks between the tokens of other requests, so the speed that counts
 * is the one under load and not the one of an idle engine.
 */

export const PREFILL_OPTIONS = {
  /** Speed before anything was learnt. */
  initialTokensPerMs: 8,
  /** Weight of the newest observation. */
  observationWeight: 0.05,
  /** Shorter reads say more about the way to the engine than about its speed. */
  minTokens: 1_500,
  /** Bounds of what is learnt, against observations that were disturbed. */
  minTokensPerMs: 1,
  maxTokensPerMs: 40,
} as const;

/** @public */
export class PrefillSpeed {
  private readonly speeds = new Map<string, number>();

  get(service: string): number {
    return this.speeds.get(service) ?? PREFILL_OPTIONS.initialTokensPerMs;
  }

  /** @param tokens of the prompt and of those that stood before it at the engine. */
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
