/** Options of operations: calls that may not be repeated. */
export const OPERATION_OPTIONS = {
  /** Lifetime of a key, from its issue. */
  ticketLifetimeMs: 900_000,
  /** How long an outcome is kept after the ticket's deadline, for late repeats. */
  retentionMs: 3_600_000,
  /**
   * Witnesses of a ticket. With two, the outcome is still known after the owner and one witness
   * have failed; see the table of `npm run bench:operations`.
   */
  witnessCount: 2,
  /** Nodes asked for a reservation before a ticket is issued with fewer witnesses. */
  reserveAttempts: 4,
  /** Timeout of a request to a witness; about 60 round trips between regions. */
  witnessTimeoutMs: 1_000,
  /** Additional wait for the owner's reply after the time limit of the call. */
  ownerReplyMarginMs: 1_500,
  /** Attempts to report an outcome to a witness; the last starts about 25 s after the first. */
  reportAttempts: 8,
  /** Delay before the second attempt to report; doubles for each further attempt. */
  reportRetryDelayMs: 200,
  /** Maximum number of tickets held as owner, and of reservations held as witness. */
  maxEntries: 20_000,
  /** Bytes of answers that a table stores before it refuses new tickets or calls. */
  maxStoredBytes: 33_554_432,
  /** Maximum number of operations that a node runs concurrently as owner. */
  maxRunning: 1_000,
  /** Interval at which expired entries are removed. */
  sweepIntervalMs: 10_000,
  /** Maximum wait during disposal for operations that are still running. */
  disposeTimeoutMs: 4_000,
} as const;

/** Options as a type, so that tests can override them. @internal */
export type OperationOptions = { readonly [Name in keyof typeof OPERATION_OPTIONS]: number };
