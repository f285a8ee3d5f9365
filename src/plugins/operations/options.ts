/** Tunables of calls that may not be repeated. */
export const OPERATION_OPTIONS = {
  /** Time in which a key can be used, from its issue. */
  ticketLifetimeMs: 900_000,
  /** How long an outcome is kept after the ticket's deadline, for late repeats. */
  retentionMs: 3_600_000,
  /**
   * Witnesses of a ticket. With two, the death of the owner and of one witness still leaves a
   * node that can tell the outcome; see the table of `npm run bench:operations`.
   */
  witnessCount: 2,
  /** Nodes asked for a reservation before a ticket is issued with fewer witnesses. */
  reserveAttempts: 4,
  /** Wait for one reply of a witness; some 60 round trips across regions. */
  witnessTimeoutMs: 1_000,
  /** Wait for the owner's reply beyond the time limit of the call. */
  ownerReplyMarginMs: 1_500,
  /** Attempts to report an outcome to a witness; the last is about 25 s after the first. */
  reportAttempts: 8,
  /** Wait before the second attempt to report; doubled for each further one. */
  reportRetryDelayMs: 200,
  /** Tickets that a node holds as owner, and reservations that it holds as witness. */
  maxEntries: 20_000,
  /** Bytes of answers that a table keeps before it refuses new tickets or calls. */
  maxStoredBytes: 33_554_432,
  /** Operations that a node runs at one time as owner. */
  maxRunning: 1_000,
  /** Interval at which forgotten entries are removed. */
  sweepIntervalMs: 10_000,
  /** Longest wait on disposal for operations that are still running. */
  disposeTimeoutMs: 4_000,
} as const;

/** Tunables as a type, so that tests can shorten them. @internal */
export type OperationOptions = { readonly [Name in keyof typeof OPERATION_OPTIONS]: number };
