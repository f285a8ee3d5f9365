/**
 * How much of a customer's limit a home node may grant.
 */

/**
 * Part of a limit for the nodes that the home can reach. Parts of a partition that see the same
 * list together stay at the limit: with two parts the rounding never adds up to more. An exact half
 * rounds down on both sides.
 */
export function computeLimitShare(
  limit: number,
  reachableNodes: number,
  listedNodes: number,
): number {
  if (listedNodes <= 0 || reachableNodes >= listedNodes) return limit;
  return Math.max(0, Math.ceil((limit * reachableNodes) / listedNodes - 0.5));
}

/** What one node holds of a limit. @public */
export interface HeldLease {
  readonly generations: number;
}

/**
 * Generations to grant to one node: what it already runs can't be taken back, beyond that only what
 * the others leave.
 */
export function computeLeaseSize(
  share: number,
  heldByOthers: ReadonlyArray<HeldLease>,
  inUse: number,
  wanted: number,
): number {
  const taken = heldByOthers.reduce((sum, slice) => sum + slice.generations, 0);
  const free = Math.max(0, share - taken);
  return Math.max(inUse, Math.min(wanted, free));
}
