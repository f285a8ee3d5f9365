/** Tunables of the model engine's stand-in. */

/** @public */
export interface EngineOptions {
  readonly seed: number;
  /** Memory for the context of running sequences. */
  readonly memoryTotalTokens: number;
  /** Most sequences in one step. */
  readonly maxBatch: number;
  /** Duration of a step with an empty batch. */
  readonly stepBaseMs: number;
  /** What each sequence adds to a step. */
  readonly stepPerSequenceMs: number;
  /** Most prompt tokens that are computed in one step, over all sequences. */
  readonly prefillTokensPerStep: number;
  /** What each computed prompt token adds to a step. */
  readonly prefillMsPerToken: number;
  /** Steps per duration: 0.5 runs at half speed. */
  readonly speedFactor: number;
  /** Size of the prefix cache; the least recently used blocks are evicted over it. */
  readonly cacheTotalTokens: number;
  readonly cacheBlockTokens: number;
  /** Length of a token where a prompt comes as text. */
  readonly charactersPerToken: number;
  /** Age at which a cache event is published. */
  readonly eventLagMs: number;
  /** Share of the cache events that are never published. */
  readonly eventDropShare: number;
  /** Number of cache events that are kept for readers. */
  readonly eventsKept: number;
  /** Age of the state that a load report shows. */
  readonly reportLagMs: number;
  /** Median of the seeded log-normal distribution of output lengths. */
  readonly medianOutputTokens: number;
  /** Standard deviation of the logarithm of the output length. */
  readonly outputLengthSigma: number;
  readonly models: ReadonlyArray<string>;
}

/** @public */
export const ENGINE_DEFAULTS: EngineOptions = {
  seed: 1,
  memoryTotalTokens: 100_000,
  maxBatch: 64,
  stepBaseMs: 12,
  stepPerSequenceMs: 0.3,
  prefillTokensPerStep: 2_048,
  prefillMsPerToken: 0.02,
  speedFactor: 1,
  cacheTotalTokens: 40_000,
  cacheBlockTokens: 64,
  charactersPerToken: 4,
  eventLagMs: 500,
  eventDropShare: 0.05,
  eventsKept: 4_096,
  reportLagMs: 500,
  medianOutputTokens: 200,
  outputLengthSigma: 1,
  models: ['summary-1'],
};
