/** Constants of the routing decisions. */
export const LENGTH_OPTIONS = {
  /** Buckets per doubling; with 4, a bucket's upper bound is within 19 % of its lower bound. */
  bucketsPerDoubling: 4,
  /** Doublings covered; 20 cover the 1,000,000 tokens that a contract may allow. */
  doublings: 20,
  /** Total weight at which a histogram is halved, so that it adapts to new lengths within hours. */
  halvingWeight: 512,
  /** Observations above the tokens produced so far that a prediction needs. */
  minObservations: 8,
  /** Maximum number of histograms by customer and kind; the least recently used is evicted. */
  maxCustomerHistograms: 32_768,
  /** Maximum number of histograms by kind over all customers. */
  maxKindHistograms: 1_024,
  /** Share of `maxOutputTokens` that is assumed without observations. */
  defaultShare: 0.5,
  /** Expected further growth of a generation longer than any observed, as a share of its length. */
  tailShare: 0.5,
} as const;

/** @public */
export type LengthOptions = { readonly [K in keyof typeof LENGTH_OPTIONS]: number };

/** @public */
export const ROUTING_OPTIONS = {
  /**
   * Memory is reserved up to this many standard deviations above the mean of the total; 1.28 is the
   * 0.9-quantile of a normal distribution.
   */
  reserveDeviations: 1.28,
  /** Quantile of the length with which a request enters the estimated wait. */
  typicalQuantile: 0.5,
  /** Share of an engine's memory that may be reserved. */
  reservableShare: 1,
  /** Maximum delay between an assignment and its appearance in the engine's reports. */
  reportSettleMs: 700,
  /** Time per token, used to estimate the growth since a report was taken. */
  tokenGapMs: 20,
  /** Prefill speed of an engine. */
  prefillTokensPerMs: 50,
  /** Increase of the time between tokens per running generation. */
  gapMsPerRunning: 0.3,
  /** Maximum number of endpoints recorded per prompt prefix. */
  endpointsPerPrefix: 4,
  /** Maximum number of recorded prefixes; the least recently used is evicted. */
  maxPrefixes: 4_096,
  /**
   * Rejected endpoints that a verdict lists; more would make log lines of 100 KB at 1,200 engines.
   */
  maxPassedOver: 12,
  /** Weight of the newest interval in the rate at which memory is freed. */
  rateSmoothing: 0.02,
  /** Minimum retry delay given to a refused caller. */
  minRetryAfterMs: 1_000,
} as const;

/** @public */
export type RoutingOptions = { readonly [K in keyof typeof ROUTING_OPTIONS]: number };
