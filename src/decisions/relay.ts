/**
 * Whether an event of an engine goes on to the caller.
 *
 * The caller's view has to be a contiguous prefix of one generation, whatever an engine repeats
 * after a reconnection or loses before it.
 */

/** @public */
export type RelayVerdict =
  { readonly action: 'relay' | 'drop' } | { readonly action: 'stop'; readonly reason: string };

const RELAY: RelayVerdict = { action: 'relay' };
const DROP: RelayVerdict = { action: 'drop' };

/** @param position as sent by the engine; NaN when it sent none. @public */
export function decideRelay(nextPosition: number, position: number): RelayVerdict {
  if (position === nextPosition) return RELAY;
  if (!Number.isInteger(position) || position < 0) {
    return { action: 'stop', reason: 'The engine sent an event without a valid position.' };
  }
  if (position < nextPosition) return DROP;
  return {
    action: 'stop',
    reason: `The engine sent position ${position} where ${nextPosition} was due.`,
  };
}
