/** Decisions: read-only views in, read-only verdicts with reasons out. */
export * from './publishedOrder';
export * from './assignability';
export * from './limitShares';
export * from './rendezvous';
export * from './describeDecision';
