/**
 * Decides whether an engine's event is relayed to the caller.
 *
 * The caller must receive a contiguous prefix of one generation, even if the engine repeats or
 * loses events across a reconnection.
 */

/** @public */
export type RelayVerdict =
  { readonly action: 'relay' | 'drop' } | { readonly action: 'stop'; readonly reason: string };

const RELAY: RelayVerdict = { action: 'relay' };
const DROP: RelayVerdict = { action: 'drop' };

/** @param position sent by the engine; NaN if absent. @public */
export function decideRelay(nextPosition: number, position: number): RelayVerdict {
  if (position === nextPosition) return RELAY;
  if (!Number.isInteger(position) || position < 0) {
    return { action: 'stop', reason: 'The engine sent an event without a valid position.' };
  }
  if (position < nextPosition) return DROP;
  return {
    action: 'stop',
    reason: `The engine sent position ${position} where ${nextPosition} was expected.`,
  };
}
