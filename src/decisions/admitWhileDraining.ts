/**
 * Whether a node that is shutting down still takes a request.
 */
import type { Route } from '../core';

/** @public */
export interface DrainView {
  readonly delivery: Route['delivery'];
  /** How long the node has been shutting down. */
  readonly drainingForMs: number;
  /** Output that is expected of a generation; 0 for calls. */
  readonly expectedTokens: number;
  /** Whether another node takes callers. */
  readonly hasOtherNode: boolean;
}

/** @public */
export interface DrainOptions {
  /** How long new requests are taken at all. */
  readonly drainAcceptMs: number;
  /** Output of a generation up to which it ends long before the process does. */
  readonly drainMaxTokens: number;
  readonly otherNodeRetryAfterMs: number;
  /** Time to come back while no node takes callers, as when all of them start anew. */
  readonly noNodeRetryAfterMs: number;
}

/** @public */
export type DrainAdmission =
  | { readonly outcome: 'admit' }
  | { readonly outcome: 'refuse'; readonly detail: string; readonly retryAfterMs: number };

export function admitWhileDraining(
  { delivery, drainingForMs, expectedTokens, hasOtherNode }: DrainView,
  options: DrainOptions,
): DrainAdmission {
  const isShort = delivery === 'whole' || expectedTokens <= options.drainMaxTokens;
  if (isShort && drainingForMs < options.drainAcceptMs) return { outcome: 'admit' };
  return hasOtherNode
    ? {
        outcome: 'refuse',
        detail: 'This node is shutting down and takes no new long work.',
        retryAfterMs: options.otherNodeRetryAfterMs,
      }
    : {
        outcome: 'refuse',
        detail: 'This node is shutting down and knows no other that takes callers.',
        retryAfterMs: options.noNodeRetryAfterMs,
      };
}
