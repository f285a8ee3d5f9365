/**
 * Error responses as `application/problem+json` (RFC 9457).
 */
import { getErrorAnswer, type RequestId, type RunOutcome, type ServingError } from '../core';

const MS_PER_SECOND = 1_000;

/** Body of a problem response. @public */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** One of the error kinds. */
  readonly kind: string;
  /** Whether the call was run. */
  readonly run: string;
  readonly mayRepeat: boolean;
  /** Explanation in plain words. */
  readonly reason: string;
  /** Path of the contract clause that caused the error. */
  readonly clause?: string;
  readonly requestId?: string;
}

/** @public */
export interface ProblemAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly problem: Problem;
}

/** @param run overrides the run outcome of the error's kind. @public */
export function createProblem(
  error: ServingError,
  requestId?: RequestId,
  run: RunOutcome = getErrorAnswer(error.kind).run,
): ProblemAnswer {
  const answer = getErrorAnswer(error.kind);
  const retryAfter: Readonly<Record<string, string>> =
    error.retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.max(1, Math.ceil(error.retryAfterMs / MS_PER_SECOND))) };
  return {
    status: answer.status,
    headers: { 'content-type': 'application/problem+json', ...retryAfter, ...error.headers },
    problem: {
      type: `urn:bramleyvane:${error.kind}`,
      title: error.kind,
      status: answer.status,
      detail: error.detail,
      kind: error.kind,
      run,
      mayRepeat: answer.mayRepeat,
      reason: answer.reason,
      ...(error.clause === undefined ? {} : { clause: error.clause }),
      ...(requestId === undefined ? {} : { requestId }),
    },
  };
}
