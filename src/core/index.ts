/**
 * Types and functions on which everything else rests. Imports nothing else of the project.
 */
export * from './Clock';
export * from './Contract';
export * from './Decision';
export * from './PublishedRecord';
export * from './ServingError';
export * from './Settings';
export * from './Vm';
export * from './errorKinds';
export * from './ids';
export * from './signedToken';
