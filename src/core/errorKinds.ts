/**
 * The closed set of error kinds, with the response that a caller receives for each.
 *
 * `run` states whether the call was executed: `not-run` guarantees that nothing was dispatched and
 * nothing will be; `unknown` is used wherever that cannot be guaranteed. `mayRepeat` states whether
 * the same call can be sent again safely and with a chance of success.
 */

/** @public */
export type RunOutcome = 'not-run' | 'run' | 'unknown';

/** @public */
export interface ErrorAnswer {
  readonly status: number;
  readonly run: RunOutcome;
  readonly mayRepeat: boolean;
  readonly reason: string;
}

/** Response for each kind. @public */
export const ERROR_ANSWERS = {
  'malformed-request': {
    status: 400,
    run: 'not-run',
    mayRepeat: false,
    reason: 'The request could not be read.',
  },
  'unknown-key': {
    status: 401,
    run: 'not-run',
    mayRepeat: false,
    reason: 'The API key is not known.',
  },
  'unknown-kind-of-work': {
    status: 404,
    run: 'not-run',
    mayRepeat: false,
    reason: 'The contract has no such kind of work, model or service.',
  },
  'unknown-path': {
    status: 404,
    run: 'not-run',
    mayRepeat: false,
    reason: 'There is nothing at this path.',
  },
  'unknown-generation': {
    status: 404,
    run: 'unknown',
    mayRepeat: false,
    reason: 'The generation is no longer stored, or never existed.',
  },
  'unknown-position': {
    status: 416,
    run: 'run',
    mayRepeat: false,
    reason: 'The generation has no such position.',
  },
  'invalid-token': {
    status: 400,
    run: 'not-run',
    mayRepeat: false,
    reason: 'The token was not issued by this fleet, or not to this customer.',
  },
  'request-too-large': {
    status: 413,
    run: 'not-run',
    mayRepeat: false,
    reason: 'The request body is over the limit.',
  },
  'headers-too-large': {
    status: 431,
    run: 'not-run',
    mayRepeat: false,
    reason: 'The headers of the request are over the limit.',
  },
  'operation-key-required': {
    status: 428,
    run: 'not-run',
    mayRepeat: true,
    reason:
      'This call may run only once: repeat it with the Idempotency-Key header of this response.',
  },
  'operation-key-expired': {
    status: 410,
    run: 'not-run',
    mayRepeat: false,
    reason: 'The operation key expired before the call was run; it will not be run.',
  },
  'operation-key-reused': {
    status: 422,
    run: 'not-run',
    mayRepeat: false,
    reason: 'The operation key was used with another call; this call was not run.',
  },
  'operation-closed': {
    status: 409,
    run: 'not-run',
    mayRepeat: false,
    reason: 'The operation was closed before it ran; it will not be run. Ask for a new key.',
  },
  'outcome-unknown': {
    status: 502,
    run: 'unknown',
    mayRepeat: false,
    reason: 'The call may or may not have run. Check with the service before you try again.',
  },
  'limit-reached': {
    status: 429,
    run: 'not-run',
    mayRepeat: true,
    reason: 'The customer has reached a limit of its contract.',
  },
  'limit-unconfirmed': {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason: 'The node that manages the limits of this customer did not respond in time.',
  },
  overloaded: {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason: 'No endpoint had free capacity within the wait that the contract allows.',
  },
  'no-endpoint': {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason: 'No endpoint for this work is known to be in service.',
  },
  'no-allowed-region': {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason: 'The configuration allows no region of this deployment for the request.',
  },
  'prompt-quarantined': {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason:
      'Engines crashed under a part of this prompt; such requests are refused until one that is tried succeeds.',
  },
  'request-quarantined': {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason:
      'Endpoints crashed under this same request; it is refused until one attempt that is tried succeeds.',
  },
  'stream-origin-unknown': {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason:
      'It is not known which software version of the engines began this stream, so it cannot go on; request it anew.',
  },
  draining: {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason: 'This node is shutting down; use another address.',
  },
  'not-ready': {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason: 'This node has not yet received the contracts and the list of endpoints.',
  },
  'unconfirmed-configuration': {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason: 'This node has not been able to confirm recently that its keys and routes are current.',
  },
  'unreadable-entry': {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason: 'The entry of the configuration that this request needs is not readable.',
  },
  'deadline-passed': {
    status: 503,
    run: 'not-run',
    mayRepeat: true,
    reason: 'The deadline passed before the request was sent to an endpoint.',
  },
  'answer-timeout': {
    status: 504,
    run: 'unknown',
    mayRepeat: false,
    reason: 'The response did not arrive in time; the request may have run.',
  },
  'answer-lost': {
    status: 502,
    run: 'unknown',
    mayRepeat: false,
    reason: 'The response of the endpoint was interrupted; the request may have run.',
  },
  'endpoint-unreachable': {
    status: 502,
    run: 'not-run',
    mayRepeat: true,
    reason: 'The endpoint could not be reached; nothing was sent to it.',
  },
  'endpoint-failed': {
    status: 502,
    run: 'unknown',
    mayRepeat: true,
    reason: 'The endpoint failed while it responded; this kind of work may be repeated.',
  },
  'engine-lost': {
    status: 502,
    run: 'run',
    mayRepeat: true,
    reason: 'The engine failed during the generation; there will be no further output.',
  },
  'position-gap': {
    status: 502,
    run: 'run',
    mayRepeat: true,
    reason: 'The engine skipped a part of the generation; there will be no further output.',
  },
  'slow-reader': {
    status: 408,
    run: 'run',
    mayRepeat: true,
    reason: 'The caller read too slowly; resume from the last event.',
  },
  'peer-unreachable': {
    status: 503,
    run: 'unknown',
    mayRepeat: true,
    reason: 'The node that holds the answer cannot be reached now.',
  },
  'invalid-settings': {
    status: 500,
    run: 'not-run',
    mayRepeat: false,
    reason: 'The settings are not valid.',
  },
  internal: {
    status: 500,
    run: 'unknown',
    mayRepeat: false,
    reason: 'The node failed to handle the request.',
  },
} as const satisfies Readonly<Record<string, ErrorAnswer>>;

/** @public */
export type ErrorKind = keyof typeof ERROR_ANSWERS;

/** Checks whether text from a peer is a known error kind. */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_ANSWERS, text);
}

export function getErrorAnswer(kind: ErrorKind): ErrorAnswer {
  return ERROR_ANSWERS[kind];
}
