/**
 * The platform's names on the wire: headers, paths and store keys. Only this folder uses them.
 */

export const HEADER_NAMES = {
  requestId: 'X-Bramleyvane-Request-Id',
  remainingMs: 'X-Bramleyvane-Deadline-Ms',
  tokenCounts: 'X-Bramleyvane-Token-Usage',
  expectedOutput: 'X-Bramleyvane-Length-Hint',
  /** `id:tokens` of each part of the prompt, in order; the last belongs to the request alone. */
  promptParts: 'X-Bramleyvane-Prompt-Prefix',
  lastEventId: 'Last-Event-Id',
  /** Of a caller that takes a stream up again: id of the attempt that brought its first event. */
  resumes: 'Resumes',
  signature: 'X-Bramleyvane-Server-Seal',
  customer: 'X-Bramleyvane-Tenant',
  expectedEndpoint: 'X-Bramleyvane-Expect-Instance',
  notRun: 'X-Bramleyvane-Not-Executed',
  /** `1` in all answers of an endpoint that is leaving. */
  leaving: 'Server-Leaving',
  /** In answers of an endpoint in need: the requests a second that it takes from all nodes together. */
  requestLimit: 'Server-Limit',
  /** In answers of a brittle endpoint: the requests that it can reject in a second and stay up. */
  rejectionLimit: 'Server-Brittle',
  /** In answers of an endpoint: for how many milliseconds more it is cold. */
  coldRemainingMs: 'X-Bramleyvane-Cold-Ms',
  authorization: 'Authorization',
  host: 'Host',
  /** `ip:port/handle` of a KV cache copy. */
  continueFrom: 'Kv-From',
  backUpTo: 'X-Bramleyvane-Kv-Backup',
  /** 0 first, 9 last; an engine takes 5 without it. */
  priority: 'X-Bramleyvane-Request-Priority',
  /** Between nodes: signed statement of the one that has passed a request on. */
  passedStatement: 'X-Bramleyvane-Passed-Request',
  /** Of the store: rises when it comes back from an older copy. */
  storeEra: 'Store-Era',
} as const;

/** Headers that only the system may set on requests to engines; a caller's are removed. */
export const SYSTEM_HEADERS: ReadonlySet<string> = new Set(
  [
    HEADER_NAMES.remainingMs,
    HEADER_NAMES.lastEventId,
    HEADER_NAMES.customer,
    HEADER_NAMES.expectedEndpoint,
    HEADER_NAMES.authorization,
    HEADER_NAMES.continueFrom,
    HEADER_NAMES.backUpTo,
    HEADER_NAMES.priority,
    HEADER_NAMES.passedStatement,
    'Kv-Fetch',
    'X-Bramleyvane-Hold',
    'X-Bramleyvane-Pin-Ms',
    'X-Bramleyvane-Expect-Version',
  ].map((name) => name.toLowerCase()),
);

/** Scheme of the `Authorization` header. */
export const KEY_SCHEME = 'Token';

/** Paths of the HTTP APIs that a node serves or calls. */
export const PATHS = {
  resolve: '/api/resolve',
  ready: '/api/readyz',
  storeRange: '/api/kv-range',
  storeWatch: '/api/kv-watch',
  copyRun: '/api/kv-move',
} as const;

export const STORE_KEYS = {
  /** Of everything that the operator writes. */
  operatorPrefix: 'op/',
  configuration: 'op/config',
  evacuationPrefix: 'op/evacuate/',
  endpointPrefix: 'servers/',
} as const;
