/**
 * Base types and functions that all other folders use. Imports nothing else from the project.
 */
export type * from './BackEnd';
export * from './Clock';
export * from './ConnectionSettings';
export * from './Contract';
export * from './Decision';
export * from './EvictingMap';
export * from './FrontSettings';
export * from './PublishedRecord';
export * from './ServingBounds';
export * from './ServingConfiguration';
export * from './ServingError';
export * from './Settings';
export * from './SourcePosition';
export * from './Vm';
export * from './describeFault';
export * from './errorKinds';
export * from './ids';
export * from './signedToken';
export * from './rejectOnAbort';
export * from './startDeadline';
