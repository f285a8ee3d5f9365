/** Decisions: read-only views in, read-only verdicts with reasons out. */
export * from './publishedOrder';
export * from './assignability';
export * from './duties';
export * from './entryOrder';
export * from './hashText';
export * from './neighbours';
export * from './reading';
export * from './rendezvous';
export * from './reportChange';
