/**
 * Computes how much of a customer's limit the home node may grant to each node.
 */

/**
 * Returns the share of a limit for the nodes that the home node can reach. The two sides of a
 * partition that use the same list don't exceed the limit together: an exact half rounds down on
 * both sides.
 */
export function computeLimitShare(
  limit: number,
  reachableNodes: number,
  listedNodes: number,
): number {
  if (listedNodes <= 0 || reachableNodes >= listedNodes) return limit;
  return Math.max(0, Math.ceil((limit * reachableNodes) / listedNodes - 0.5));
}

/** The part of a limit that one node holds. @public */
export interface HeldLease {
  readonly generations: number;
}

/**
 * Returns the number of generations to grant to one node: at least those it already runs, which
 * can't be revoked, and beyond them only what the other nodes don't hold.
 */
export function computeLeaseSize(
  share: number,
  heldByOthers: ReadonlyArray<HeldLease>,
  inUse: number,
  wanted: number,
): number {
  const granted = heldByOthers.reduce((sum, lease) => sum + lease.generations, 0);
  const free = Math.max(0, share - granted);
  return Math.max(inUse, Math.min(wanted, free));
}
