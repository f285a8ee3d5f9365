/**
 * Error of a request that can't be sent once more, as its body isn't kept.
 */
import { ServingError } from '../../core';
import { FORWARDING_OPTIONS } from './options';

/** @internal */
export function createBodyGoneError(clause: string): ServingError {
  return new ServingError('overloaded', {
    detail: 'The body of the request was not kept, so it can not be sent to another endpoint.',
    clause,
    retryAfterMs: FORWARDING_OPTIONS.retryAfterMs,
  });
}
