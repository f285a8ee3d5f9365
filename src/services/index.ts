/** Abstract classes by which plug-ins meet. */
export * from './ContractBook';
export * from './ControlTraffic';
export * from './DecisionLog';
export * from './Fleet';
export * from './Generations';
export * from './Gossip';
export * from './HttpRoutes';
export * from './LimitLeases';
export * from './Operations';
export * from './Peers';
export * from './PublishedState';
export * from './ReadinessCheck';
export * from './Router';
export * from './ServiceCalls';
export * from './ServingMetrics';
export * from './SourceProgress';
