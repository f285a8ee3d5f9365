/**
 * How old the knowledge of a node is, also across a suspension of its machine.
 */

/** One reading of both clocks. @public */
export interface ClockReading {
  readonly nowMs: number;
  readonly wallMs: number;
}

/** A moment at which everything published until then was known. @public */
export interface Confirmation extends ClockReading {
  /** Monotonic time up to which the knowledge is complete. */
  readonly asOfMs: number;
}

/**
 * Age of a confirmation. A suspended machine's monotonic clock stands still while the time of day
 * goes on, so a time of day that has run ahead by more than `maxWallLeadMs` makes the age unknown:
 * it may also be a step of the clock, and then the next confirmation sets it right.
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
