/**
 * Decides whether a node that is shutting down still accepts a request.
 */
import type { Route } from '../core';

/** @public */
export interface DrainView {
  readonly delivery: Route['delivery'];
  /** Time since the shutdown began. */
  readonly drainingForMs: number;
  /** Expected output of a generation; 0 for calls. */
  readonly expectedTokens: number;
  /** Whether another node accepts callers. */
  readonly hasOtherNode: boolean;
}

/** @public */
export interface DrainOptions {
  /** Time after the start of the shutdown during which short requests are accepted. */
  readonly drainAcceptMs: number;
  /** Maximum expected output of a generation that ends well before the process exits. */
  readonly drainMaxTokens: number;
  readonly otherNodeRetryAfterMs: number;
  /** Retry delay while no node accepts callers, for example while all nodes restart. */
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
        detail: 'This node is shutting down and accepts no long requests.',
        retryAfterMs: options.otherNodeRetryAfterMs,
      }
    : {
        outcome: 'refuse',
        detail: 'This node is shutting down and knows no other node that accepts callers.',
        retryAfterMs: options.noNodeRetryAfterMs,
      };
}
