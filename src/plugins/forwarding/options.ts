/** Options for forwarding requests to endpoints. */
import { FINGERPRINTED_BODY_BYTES } from '../../decisions';

export const FORWARDING_OPTIONS = {
  /** Timeout for opening a connection to an endpoint; a lost first packet costs a second. */
  connectTimeoutMs: 500,
  /** Time in which an endpoint whose connection broke has to accept another one. */
  probeTimeoutMs: 300,
  /** Interval at which a node looks for services of which nothing was heard for a while, or none accepts. */
  reachIntervalMs: 500,
  /** Time without an answer after which a service is probed. */
  quietIntervalMs: 1_000,
  /** Nodes of which it is remembered which services they don't reach. */
  maxReachNodes: 4_096,
  /** Time that an endpoint goes on serving at least, from the notice that it leaves. */
  minDepartureMs: 1_000,
  /** How long the outcome of such a probe is used for other requests of the endpoint. */
  probeReuseMs: 400,
  /**
   * Idle time after a response before its connection is reused. A stray second response to the same
   * request arrives within it and closes the connection, instead of answering the next request.
   */
  reuseDelayMs: 250,
  /** Idle timeout of a connection when the endpoint sends no `Keep-Alive` timeout. */
  defaultIdleTimeoutMs: 3_000,
  /** How long before the endpoint's own idle timeout a connection is no longer reused. */
  idleTimeoutMarginMs: 1_000,
  /** Share of the maximum connections of an endpoint that the nodes divide among themselves. */
  connectionShare: 0.8,
  /** Connections to an endpoint that a node may always open, however many nodes there are. */
  minConnections: 4,
  /** Request bodies up to this size are read before their request is sent. */
  maxBufferedBodyBytes: FINGERPRINTED_BODY_BYTES,
  /** Blocks in which a longer body is kept to be sent again. */
  keptBodyBlockBytes: 16_384,
  /** Memory of a request body that is passed on while it is read. */
  streamedBodyBytes: 131_072,
  /** Unread bytes of a response at which its endpoint is read no further. */
  maxUnreadResponseBytes: 16_384,
  /** Responses up to this size are buffered and sent to the caller once complete. */
  maxBufferedResponseBytes: 262_144,
  /** Longest event of a stream; an endpoint in trouble may send one without end. */
  maxEventBytes: 262_144,
  /** Longest answer to an order to copy a KV cache. */
  maxCopyAnswerBytes: 65_536,
  /** How far below the bound the confirmed age must be for a request with a key to be served. */
  confirmationMarginMs: 400,
  /** `Retry-After` of a refusal. */
  retryAfterMs: 150,
  /** `Retry-After` when the caller should use another node. */
  otherNodeRetryAfterMs: 20,
  /** How long before its caller would leave a stream without a head is answered with an error. */
  maxLeavingMarginMs: 100,
  /** The same as a share of the time that the caller waits. */
  leavingMarginShare: 0.05,
  /** Share of the latency goal after which a repeatable request is hedged. */
  hedgeDelayShare: 0.45,
  /** Share of the latency goal that a request waits at the node for capacity. */
  maxHoldShare: 0.4,
  /** Interval at which a generation that waits for room looks for it again. */
  queueCheckIntervalMs: 100,
  /** Least time between two passes over the waiting generations after releases and new loads. */
  queueRetryIntervalMs: 20,
  /** How long a forecast of the room is used again. */
  forecastReuseMs: 20,
  /** Memory that a waiting request holds besides its body: its connection, headers and task. */
  waitingOverheadBytes: 32_768,
  /** Estimated remaining output below which a run on a leaving engine is not migrated at once. */
  minMigrationTokens: 80,
  /** Time that such a nearly finished run gets before it is migrated anyway. */
  nearlyDoneGraceMs: 450,
  /** Interval at which a stream checks whether its engine is unresponsive. */
  silenceCheckIntervalMs: 250,
  /** Time in which another engine has to answer before two engines would work on one run. */
  maxOverlapMs: 300,
  /** Pause after a failed attempt to take a run over; it doubles up to the maximum. */
  takeoverPauseMs: 1_000,
  maxTakeoverPauseMs: 8_000,
  /** Timeout of an order to copy the KV cache of a run. */
  copyTimeoutMs: 2_500,
  /** Delay before a migration that every engine has refused is tried again. */
  migrationRetryMs: 60,
  /** `Retry-After` while another request with a quarantined part is being tried. */
  trialRetryAfterMs: 1_000,
  /** Crashes at its beginning after which a request is not sent to another endpoint. */
  maxCrashesAtStart: 2,
  /** Interval at which a held prompt checks whether a new node has heard from another one. */
  joinCheckIntervalMs: 20,
  /** Time since an endpoint named a rate limit after which it is tried again without one. */
  limitMemoryMs: 60_000,
  /** Change of a rate limit, as a share, of which other nodes are told at once. */
  limitChangeShare: 0.1,
  /** Interval at which other nodes are told that an endpoint still names a rate limit. */
  limitRenewalMs: 5_000,
  /** How long it is used again which endpoints of a service are brittle, and where a node is a guest. */
  brittleReuseMs: 100,
  /** Named limits that nodes share, the newest first. */
  maxSharedLimits: 4_096,
  /** `Retry-After` while an entry of the configuration isn't readable; the operator corrects it. */
  unreadableRetryAfterMs: 2_000,
  /** `Retry-After` while all endpoints that a request may use are in evacuated data centres. */
  unusableRetryAfterMs: 1_000,
  /** Share of the bound for evacuations in which a run may still continue from its copy there. */
  evacuationGraceShare: 0.25,
  /** `Retry-After` while no node accepts callers, for example when all of them restart. */
  noNodeRetryAfterMs: 1_000,
  /** Time in which a request is answered at the latest while no route is known for it. */
  unroutedTimeoutMs: 30_000,
  /** Interval at which running requests are checked against their deadlines. */
  overdueCheckIntervalMs: 100,
  /** How long past its deadline a request is left to its own task. */
  overdueMarginMs: 100,
  /** Time in which the system takes the last answers of a node that stops. */
  stopAnswersMs: 150,
  /** Multiple of its expected duration that has to be left for a request of a draining node. */
  drainDurationMargin: 2,
  /** Part of the grace period in which a draining node accepts new connections. */
  drainAcceptShare: 0.3125,
  maxDrainAcceptMs: 2_500,
  /** Part of the grace period, at its end, in which running requests are answered with an error. */
  answerMarginShare: 0.1,
  maxAnswerMarginMs: 600,
  /** Part of the grace period by which the process exits before it would be killed. */
  exitMarginShare: 0.05,
  maxExitMarginMs: 350,
  /** Limit for the head of a request while no configuration is known. */
  defaultMaxHeadBytes: 16_384,
  /**
   * Received bytes of a head per byte of the limit for names and values. The shortest line has four
   * bytes for one, and a space is allowed before the value.
   */
  headLengthFactor: 5,
  /** Heads up to this size aren't counted before they are complete. */
  ordinaryHeadBytes: 1_024,
  /** Bytes around a body, such as the lengths of chunks, per byte of the body. */
  maxFramingFactor: 8,
  /** Chunks of bodies shorter than `SHORT_CHUNK_BYTES` that are read in a period, by all connections. */
  shortChunksPerPeriod: 2_000,
  shortChunkPeriodMs: 20,
  /** Short chunks of a body that are read at once, also while other connections wait. */
  shortChunkAllowance: 64,
  /** Bytes of such a body, beyond the allowance, that are read in a turn. */
  shortChunkSliceBytes: 512,
  /** Bytes that the parser gets at once, and so the most that it holds beyond a limit. */
  readSliceBytes: 4_096,
  /** Bytes of a complete answer that are written at once. */
  answerPieceBytes: 16_384,
  /** The same as `unreadAnswerTimeoutSeconds` while memory is short. */
  unreadGraceMs: 1_000,
  /** Part of the held memory that remains for requests of ordinary size. */
  ordinaryHeldShare: 0.25,
  /** Requests up to this estimate count as ordinary. */
  ordinaryRequestBytes: 32_768,
  /** Bytes of a body, or of an answer, that such a request may hold besides. */
  ordinaryBodyBytes: 16_384,
  /** Part of the held memory above which a node doesn't accept new callers. */
  fullHeldShare: 0.9,
  /** Interval at which callers' connections are checked against the header timeout. */
  callerCheckIntervalMs: 500,
  /** An idle connection of a caller is closed after its idle timeout times this factor. */
  callerIdleFactor: 1.25,
  /** How much longer than the `Keep-Alive` header says an idle connection stays open. */
  callerIdleMarginMs: 1_000,
} as const;
