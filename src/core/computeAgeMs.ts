/**
 * Times as messages between nodes carry them: as ages, because each node has its own monotonic clock.
 */
import type { Clock } from './Clock';

/** Returns the time since a moment in whole milliseconds; 0 for one that is still to come. @public */
export function computeAgeMs(clock: Clock, atMs: number): number {
  return Math.max(0, Math.round(clock.nowMs() - atMs));
}
