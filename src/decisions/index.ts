/** Decisions: read-only views in, read-only verdicts with reasons out. */
export * from './publishedOrder';
export * from './assignability';
export * from './relay';
export * from './restart';
