/** Tunables of membership. */
export const FLEET_OPTIONS = {
  /**
   * Oldest knowledge on which new work is assigned: a leaving endpoint gets no new work after this
   * time, also from a node that was paused or cut off.
   */
  membershipMaxAgeMs: 5_000,
  /** A node that hasn't been heard of for this long is not offered to callers. */
  nodeSilenceMs: 5_000,
} as const;
