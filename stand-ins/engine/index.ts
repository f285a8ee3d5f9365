/** Simulated scheduler of the model engine, usable without HTTP. */
export * from './EngineScheduler';
export * from './options';
export * from './outputTokens';
export type { FinishReason, SequenceRequest } from './EngineSequence';
export type { EngineReport } from './ReportHistory';
export type { CacheEvent } from './PrefixCache';
