/**
 * Divides the memory and the descriptors of a node among its connections, and estimates what a
 * request holds. See docs/design/connection-memory.md.
 */

/** What the process has. @public */
export interface ProcessResources {
  readonly heapLimitBytes: number;
  readonly descriptors: number;
}

/** @public */
export interface ConnectionBudget {
  /** Connections of callers. */
  readonly callers: number;
  /** Connections of other nodes. */
  readonly peers: number;
  /** Connections at each of the other listeners. */
  readonly others: number;
  /** Bytes that callers may make the node hold. */
  readonly heldBytes: number;
}

/** @internal */
export const CONNECTION_BUDGET_OPTIONS = {
  /** Descriptors for files; the platform reserves as many. */
  reservedDescriptors: 200,
  /** Parts of the descriptors; the rest is for connections to endpoints and to the store. */
  callerShare: 0.6,
  peerShare: 0.15,
  /** For each of the directory, readiness and operator listeners. */
  otherShare: 0.05,
  minConnections: 16,
  /** Part of the heap limit for what callers have sent and not yet read. */
  heldShare: 0.16,
  /** Objects of an open request beside its head: task, timers, signals. */
  requestBytes: 16_384,
  /** Two strings and their places in the lists that are kept of a header line. */
  headerLineBytes: 320,
  /** Memory per received byte of a head of short lines that is not complete yet. */
  partialHeadFactor: 20,
} as const;

const OPTIONS = CONNECTION_BUDGET_OPTIONS;

export function computeConnectionBudget({
  heapLimitBytes,
  descriptors,
}: ProcessResources): ConnectionBudget {
  const shared = Math.max(0, descriptors - OPTIONS.reservedDescriptors);
  const divide = (share: number): number =>
    Math.max(OPTIONS.minConnections, Math.floor(shared * share));
  return {
    callers: divide(OPTIONS.callerShare),
    peers: divide(OPTIONS.peerShare),
    others: divide(OPTIONS.otherShare),
    heldBytes: Math.floor(heapLimitBytes * OPTIONS.heldShare),
  };
}

/** Memory of an open request whose head has been parsed. */
export function estimateRequestBytes(lines: number, headBytes: number): number {
  return OPTIONS.requestBytes + lines * OPTIONS.headerLineBytes + headBytes * 2;
}

/** Memory of a head of which some bytes have arrived. */
export function estimatePartialHeadBytes(receivedBytes: number): number {
  return receivedBytes * OPTIONS.partialHeadFactor;
}
