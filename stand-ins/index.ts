/** Test servers that stand in for the systems outside the fleet. */
export * from './ConfigurationService';
export * from './engine';
export * from './ModelEngine';
export * from './PlainService';
export * from './StandIn';
export * from './VmList';
export * from './WeightStore';
