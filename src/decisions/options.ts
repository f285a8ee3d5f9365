/** Tunables of the routing decisions. */
export const LENGTH_OPTIONS = {
  /** Buckets for each doubling; 4 keep the upper edge of a bucket within 19 % of its lower edge. */
  bucketsPerDoubling: 4,
  /** Doublings covered; 20 reach the 1,000,000 tokens that a contract may allow. */
  doublings: 20,
  /** Weight at which a histogram is halved, so that a change of lengths shows within hours. */
  halvingWeight: 512,
  /** Observations over the tokens made so far that a prediction needs. */
  minObservations: 8,
  /** Histograms by customer and kind; the least recently used goes first. */
  maxCustomerHistograms: 32_768,
  /** Histograms by kind over all customers. */
  maxKindHistograms: 1_024,
  /** Share of `maxOutputTokens` that is assumed while nothing has been learnt. */
  defaultShare: 0.5,
  /** Share of the tokens made that is still expected of work longer than any observed. */
  tailShare: 0.5,
} as const;

/** @public */
export type LengthOptions = { readonly [K in keyof typeof LENGTH_OPTIONS]: number };

/** @public */
export const ROUTING_OPTIONS = {
  /**
   * Standard deviations above the mean that are reserved of the memory of all work together; 1.28
   * are the 0.9-quantile of a normal distribution.
   */
  reserveDeviations: 1.28,
  /** Quantile of the length by which a request is counted in the expected wait. */
  typicalQuantile: 0.5,
  /** Share of an engine's memory that may be reserved. */
  reservableShare: 1,
  /** Longest time from an assignment until a report taken later shows it. */
  reportSettleMs: 700,
  /** Time for one token, for growth since a report was taken. */
  tokenGapMs: 20,
  /** Speed at which an engine reads prompts. */
  prefillTokensPerMs: 50,
  /** Time that each running generation adds to the time between tokens. */
  gapMsPerRunning: 0.3,
  /** Endpoints that are remembered for one prompt prefix. */
  endpointsPerPrefix: 4,
  /** Prefixes that are remembered; the least recently used goes first. */
  maxPrefixes: 4_096,
  /** Rejected endpoints that a verdict lists; more would make log lines of 100 KB at 1,200 engines. */
  maxPassedOver: 12,
  /** Weight of the newest interval in the rate at which room becomes free. */
  rateSmoothing: 0.02,
  /** Shortest time after which a refused caller is told to retry. */
  minRetryAfterMs: 1_000,
} as const;

/** @public */
export type RoutingOptions = { readonly [K in keyof typeof ROUTING_OPTIONS]: number };
