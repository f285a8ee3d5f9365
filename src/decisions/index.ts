/** Decisions: read-only views in, read-only verdicts with reasons out. */
export * from './publishedOrder';
export * from './assignability';
export * from './OperationRules';
export * from './operationOutcome';
export * from './operationTicket';
export * from './witnessChoice';
