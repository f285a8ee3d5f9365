/**
 * The only error type that is reported to callers: a `VError` with an `ErrorKind`.
 */
import VError from 'verror';
import type { ErrorKind } from './errorKinds';

/** @public */
export interface ServingErrorDetails {
  /** What happened, for the log and for the caller. */
  readonly detail: string;
  /** Path of the contract clause that caused the error, such as `limits.requestsPerSecond`. */
  readonly clause?: string;
  /** Suggested wait before the caller tries again. */
  readonly retryAfterMs?: number;
  /** Additional response headers, such as a fresh `Idempotency-Key`. */
  readonly headers?: Readonly<Record<string, string>>;
  readonly cause?: unknown;
}

/** @public */
export class ServingError extends VError {
  readonly clause: string | undefined;

  readonly retryAfterMs: number | undefined;

  readonly headers: Readonly<Record<string, string>>;

  readonly detail: string;

  constructor(
    readonly kind: ErrorKind,
    details: ServingErrorDetails,
  ) {
    super(
      details.cause instanceof Error ? { name: kind, cause: details.cause } : { name: kind },
      '%s',
      details.detail,
    );
    this.detail = details.detail;
    this.clause = details.clause;
    this.retryAfterMs = details.retryAfterMs;
    this.headers = details.headers ?? {};
  }

  /** Wraps a thrown value; a `ServingError` is returned unchanged. */
  static from(thrown: unknown, kind: ErrorKind = 'internal'): ServingError {
    if (thrown instanceof ServingError) return thrown;
    const detail = thrown instanceof Error ? thrown.message : String(thrown);
    return new ServingError(kind, { detail, cause: thrown });
  }
}
