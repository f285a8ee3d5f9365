/**
 * Decides whether a node that is shutting down still accepts a request.
 *
 * A request is accepted if it is sure to end before the node exits. One that may be repeated is also
 * accepted if it is expected to end well before.
 */
import type { Route } from '../core';

/** @public */
export interface DrainView {
  /** Time until the node ends the requests that are still running. */
  readonly leftMs: number;
  /** Time until the limit of the caller or of the route expires. */
  readonly timeLimitMs: number;
  /** Expected duration of the request; undefined if unknown. */
  readonly expectedMs: number | undefined;
  /** Whether another run may repeat the request or resume its stream. */
  readonly mayRunAgain: boolean;
  /** Whether another node accepts callers. */
  readonly hasOtherNode: boolean;
}

/** @public */
export interface DrainOptions {
  /** Multiple of its expected duration that has to be left for a request. */
  readonly drainDurationMargin: number;
  readonly otherNodeRetryAfterMs: number;
  /** Retry delay while no node accepts callers, for example while all nodes restart. */
  readonly noNodeRetryAfterMs: number;
}

/** @public */
export type DrainAdmission =
  | { readonly outcome: 'admit' }
  | { readonly outcome: 'refuse'; readonly detail: string; readonly retryAfterMs: number };

function fits(
  { leftMs, timeLimitMs, expectedMs, mayRunAgain }: DrainView,
  marginFactor: number,
): boolean {
  if (timeLimitMs <= leftMs) return true;
  return mayRunAgain && expectedMs !== undefined && expectedMs * marginFactor <= leftMs;
}

export function admitWhileDraining(view: DrainView, options: DrainOptions): DrainAdmission {
  if (view.leftMs > 0 && fits(view, options.drainDurationMargin)) return { outcome: 'admit' };
  const reason = `This node exits in ${Math.max(0, Math.round(view.leftMs))} ms, and the request may take longer`;
  return view.hasOtherNode
    ? {
        outcome: 'refuse',
        detail: `${reason}.`,
        retryAfterMs: options.otherNodeRetryAfterMs,
      }
    : {
        outcome: 'refuse',
        detail: `${reason}. No other node is known to accept callers.`,
        retryAfterMs: options.noNodeRetryAfterMs,
      };
}

/** @public */
export interface DurationView {
  readonly route: Pick<Route, 'delivery' | 'latencyGoalMs'>;
  /** Expected output of a generation; undefined if the request doesn't state its size. */
  readonly expectedTokens: number | undefined;
  /** Known paces of the service's endpoints: time per call, or per token of a generation. */
  readonly pacesMs: ReadonlyArray<number>;
}

/** Estimates how long a request takes at the slowest endpoint; undefined if that is unknown. */
export function estimateDurationMs({
  route,
  expectedTokens,
  pacesMs,
}: DurationView): number | undefined {
  const slowestMs = pacesMs.length === 0 ? undefined : Math.max(...pacesMs);
  if (route.delivery === 'whole') return slowestMs ?? route.latencyGoalMs;
  if (slowestMs === undefined || expectedTokens === undefined) return undefined;
  return route.latencyGoalMs + expectedTokens * slowestMs;
}
