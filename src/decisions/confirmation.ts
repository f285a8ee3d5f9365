/**
 * Age of a node's configuration, correct also after a suspension of its machine.
 */

/** One reading of the monotonic clock and the wall clock. @public */
export interface ClockReading {
  readonly nowMs: number;
  readonly wallMs: number;
}

/** Confirmation that the node had everything that was published up to a time. @public */
export interface Confirmation extends ClockReading {
  /** Monotonic time up to which the node's copy is complete. */
  readonly asOfMs: number;
}

/**
 * Returns the age of a confirmation. The monotonic clock stops during a suspension, the wall clock
 * doesn't. If the wall clock is ahead by more than `maxWallLeadMs` the age is unknown and
 * `Infinity` is returned. A step of the wall clock has the same effect until the next confirmation.
 */
export function computeConfirmedAgeMs(
  confirmation: Confirmation | undefined,
  reading: ClockReading,
  maxWallLeadMs: number,
): number {
  if (!confirmation) return Infinity;
  const elapsedMs = reading.nowMs - confirmation.nowMs;
  const wallElapsedMs = reading.wallMs - confirmation.wallMs;
  if (wallElapsedMs - elapsedMs > maxWallLeadMs) return Infinity;
  return reading.nowMs - confirmation.asOfMs;
}
