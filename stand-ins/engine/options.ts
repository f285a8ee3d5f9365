/** Options of the simulated model engine. */

/** @public */
export interface EngineOptions {
  readonly seed: number;
  /** KV cache memory for the context of running sequences. */
  readonly memoryTotalTokens: number;
  /** Largest number of sequences in one step. */
  readonly maxBatch: number;
  /** Duration of a step with an empty batch. */
  readonly stepBaseMs: number;
  /** Time that each sequence adds to a step. */
  readonly stepPerSequenceMs: number;
  /** Largest number of prefill tokens in one step, over all sequences. */
  readonly prefillTokensPerStep: number;
  /** Time that each prefill token adds to a step. */
  readonly prefillMsPerToken: number;
  /** Divides the duration of every step: 0.5 runs at half speed. */
  readonly speedFactor: number;
  /** Capacity of the prefix cache; blocks over it are evicted, least recently used first. */
  readonly cacheTotalTokens: number;
  readonly cacheBlockTokens: number;
  /** Length of a token in a prompt that is given as text. */
  readonly charactersPerToken: number;
  /** Delay until a cache event is published. */
  readonly eventLagMs: number;
  /** Share of the cache events that are dropped. */
  readonly eventDropShare: number;
  /** Number of cache events that can be read, the newest ones. */
  readonly eventsKept: number;
  /** Delay until a change of state is visible in load reports. */
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
