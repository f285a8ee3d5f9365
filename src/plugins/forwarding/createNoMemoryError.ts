/**
 * Error of a request for which the node has no memory. Nothing of the request was sent on.
 */
import { ServingError } from '../../core';
import { FORWARDING_OPTIONS } from './options';

/** @internal */
export function createNoMemoryError(): ServingError {
  return new ServingError('overloaded', {
    detail: 'The memory of this node for open requests and responses is used up.',
    retryAfterMs: FORWARDING_OPTIONS.retryAfterMs,
  });
}
