/** Tunables of the exchange of state between nodes. */
export const GOSSIP_OPTIONS = {
  /** Interval of the rounds with each neighbour, and the share by which it varies at random. */
  intervalMs: 1_000,
  jitterShare: 0.2,
  /**
   * Neighbours asked in one interval; with more, each is asked less often. Without this, a full
   * mesh of 9 nodes with 50 endpoints takes 9.7 KB/s of the 9 KB/s allowed.
   */
  exchangesPerInterval: 5,
  /** Longest wait before the first round with a new neighbour. */
  firstRoundJitterMs: 200,
  /** Interval at which the neighbours are matched with the VM list. */
  superviseIntervalMs: 500,
  /** Time limit of one exchange; also bounds how much a late reply adds to the ages in it. */
  callTimeoutMs: 2_000,
  /** Up to this many nodes, everybody is a neighbour of everybody. */
  fullMeshNodes: 9,
  /** Nodes in each data centre that have neighbours in other regions. */
  gatewaysPerDataCentre: 2,
  /** Failed rounds after which another node stands in for a neighbour. */
  substituteAfterFailures: 2,
  /** A known node state is sent again when it is newer by this much than the neighbour's. */
  stateRefreshMs: 1_200,
  /** The same for nodes of other regions, whose links are billed by volume. */
  remoteStateRefreshMs: 10_000,
  /** The same for reports: every second poll. At 2,000 a poll that is a little early misses it. */
  reportRefreshMs: 1_600,
  /** Older states and reports are of no use to anybody. */
  maxEntryAgeMs: 60_000,
  /** With no more endpoints than this, reports are sent to other regions too. */
  fullScopeEndpoints: 64,
  /** Changes of a report that are worth sending it before its age has to be refreshed. */
  reportChange: { memoryShare: 0.02, requestShare: 0.1, requestCount: 1 },
  /** Buckets of the digest; 11,000 contracts give 43 a bucket. */
  digestBuckets: 256,
  /** Buckets whose versions are asked for at once, and records likewise. */
  bucketsPerPull: 64,
  recordsPerPull: 64,
  /** Size at which a reply with records is cut; the rest is asked for again. */
  maxPullBytes: 1_048_576,
  /** Time limit of one step of a pull. */
  pullTimeoutMs: 5_000,
  /** Records of a pull that are forwarded; a node that pulls more is new and late. */
  maxForwardedRecords: 16,
  /** A larger set of changes isn't pushed; the neighbours pull what they lack. */
  maxPushBytes: 65_536,
} as const;
