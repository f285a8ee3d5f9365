/** Decisions: read-only views in, read-only verdicts with reasons out. */
export * from './publishedOrder';
export * from './assignability';
export * from './options';
export * from './SeededRandom';
export * from './HistogramPool';
export * from './LengthEstimator';
export * from './InFlightReservations';
export * from './EndpointView';
export * from './RoutingPolicy';
export * from './RoundRobinPolicy';
export * from './RandomPolicy';
export * from './LeastOutstandingPolicy';
export * from './TwoChoicesPolicy';
export * from './ReserveByQuantilePolicy';
export * from './predictMemory';
export * from './prefixAffinity';
export * from './admission';
