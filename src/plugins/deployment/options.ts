/** Options of the copy of the configuration and endpoints. */
export const DEPLOYMENT_OPTIONS = {
  /** Lead of the wall clock over the monotonic clock at which a suspension is assumed. */
  maxWallLeadMs: 400,
  /**
   * Time after the source recovers for which a missing entry doesn't count as a departure: an
   * endpoint that is alive renews its expired entry within about two seconds.
   */
  expiredEntryGraceMs: 2_100,
  /** How long a departed endpoint is kept, for the requests that still run on it. */
  departedRetentionMs: 30_000,
  /** How long a departure is remembered: the source may come back from a copy of this age. */
  departureMemoryMs: 600_000,
  /** Departures that a node tells others after a change of the source's era; the newest. */
  maxSharedDepartures: 2_000,
  /** Newest eras of the source whose starts are remembered. */
  maxRememberedEras: 16,
  /** Data centres of which an order or takeback of an evacuation is remembered. */
  maxEvacuationStates: 256,
  /** Unreadable entries of one version of the configuration that are logged one by one. */
  maxReportedEntries: 20,
  /** Interval of the checks of expired and departed entries, and of the clocks. */
  sweepIntervalMs: 250,
  /** Time beyond its wait after which a watch times out. */
  watchTimeoutMarginMs: 600,
  /** Timeout of a full read. */
  readTimeoutMs: 1_500,
  /** Revisions before the newest one at which the search for the beginning of the history starts. */
  firstHistoryStep: 64,
  /** Factor by which the steps of that search grow until they reach what is no longer kept. */
  historyStepFactor: 4,
  /** Time before the end of its wait at which a watch may return without counting as early. */
  earlyAnswerToleranceMs: 10,
  /** Retry interval while the source fails. */
  retryIntervalMs: 250,
  /** Interval of attempts at the source by a node that others read for. */
  memberRetryIntervalMs: 1_000,
  /** How long a new node waits for a first copy from others before it reads the source itself. */
  firstCopyWaitMs: 300,
  /** How long a reader may wait for a change before it answers a node that it reads for. */
  readerWaitMs: 400,
  /** Pause between two requests to a reader, in which further changes accumulate. */
  readerPauseMs: 50,
  /** Interval at which a node that others read for checks whether it has to read itself. */
  roleCheckIntervalMs: 100,
  /** Interval of requests to other nodes while the source can't be reached. */
  relayIntervalMs: 250,
  /** Longest such interval; it doubles while no other node can confirm its data. */
  maxRelayIntervalMs: 2_000,
  /** Timeout of such a request. */
  relayTimeoutMs: 400,
  /** Share by which intervals vary at random. */
  jitterShare: 0.15,
} as const;
