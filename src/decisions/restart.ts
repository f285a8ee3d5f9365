/**
 * Decides whether a failed request may be retried on another engine.
 */
import type { ErrorKind } from '../core';

/** Failures that show that the engine didn't start the generation. */
const NOT_STARTED: ReadonlySet<ErrorKind> = new Set([
  'endpoint-unreachable',
  'overloaded',
  'no-endpoint',
]);

/** Failures of a generation that was started. */
const FAILED: ReadonlySet<ErrorKind> = new Set(['engine-lost', 'position-gap', 'endpoint-failed']);

/** @public */
export interface RestartView {
  readonly failure: ErrorKind;
  /** Generations started for the request, including the failed one. */
  readonly startedGenerations: number;
  /** Engines that received the request and didn't start it. */
  readonly refusals: number;
  readonly attempts: number;
  readonly maxRefusals: number;
  /** Whether the caller is still connected and has received nothing. */
  readonly canRestart: boolean;
}

/** @public */
export interface RestartVerdict {
  readonly restart: boolean;
  readonly reason: string;
}

/** @public */
export function decideRestart(view: RestartView): RestartVerdict {
  if (!view.canRestart) {
    return { restart: false, reason: 'the caller has left or has received a part of the answer' };
  }
  if (NOT_STARTED.has(view.failure)) {
    return view.refusals < view.maxRefusals
      ? { restart: true, reason: 'the engine did not start the generation' }
      : { restart: false, reason: `${view.refusals} engines did not start the generation` };
  }
  if (!FAILED.has(view.failure)) {
    return { restart: false, reason: `${view.failure} is not a failure of the engine` };
  }
  return view.startedGenerations < view.attempts
    ? { restart: true, reason: 'the contract allows another attempt' }
    : { restart: false, reason: `the contract allows ${view.attempts} attempts` };
}
