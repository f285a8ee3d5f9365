/** Options of membership. */
export const FLEET_OPTIONS = {
  /**
   * Maximum age of the membership data on which new work is assigned. A leaving endpoint gets no
   * new work after this time, not even from a node that was paused or partitioned.
   */
  membershipMaxAgeMs: 5_000,
  /**
   * Maximum age of a node's state; a node whose state is older is not offered to callers. In a
   * bench run of 10 s with 52 nodes in a region, states were up to 4.6 s old.
   */
  nodeStateMaxAgeMs: 10_000,
  /** The same for nodes of other regions, whose states gossip refreshes every 10 s. */
  remoteNodeStateMaxAgeMs: 30_000,
} as const;
