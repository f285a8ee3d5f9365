/** Options of the gossip between nodes. */
export const GOSSIP_OPTIONS = {
  /** Interval of the rounds with each neighbour, and the share by which it varies at random. */
  intervalMs: 1_000,
  jitterShare: 0.2,
  /**
   * Exchanges started in one interval; with more neighbours, each has fewer. Without this limit, a
   * full mesh of 9 nodes with 50 endpoints uses 9.7 KB/s, over the 9 KB/s allowed.
   */
  exchangesPerInterval: 5,
  /** Longest random delay before the first round with a new neighbour. */
  firstRoundJitterMs: 200,
  /** Interval at which the neighbour tasks are matched with the VM list. */
  superviseIntervalMs: 500,
  /** Timeout of one exchange; also bounds how much a late reply adds to the ages in it. */
  callTimeoutMs: 2_000,
  /** Up to this many nodes, all nodes are neighbours of each other. */
  fullMeshNodes: 9,
  /** Nodes in each data centre that have neighbours in other regions. */
  gatewaysPerDataCentre: 2,
  /** Successive failed rounds after which another node substitutes for a neighbour. */
  substituteAfterFailures: 2,
  /** A node state is sent again when it is newer than the neighbour's copy by this much. */
  stateRefreshMs: 1_200,
  /** The same for nodes of other regions, whose links are billed by volume. */
  remoteStateRefreshMs: 10_000,
  /** The same for reports: every second poll. With 2,000, a slightly early poll would miss it. */
  reportRefreshMs: 1_600,
  /** Age above which states and reports are no longer sent. */
  maxEntryAgeMs: 60_000,
  /** Up to this many endpoints, reports are sent to other regions too. */
  fullScopeEndpoints: 64,
  /** Changes large enough to send a report before its refresh is due. */
  reportChange: { memoryShare: 0.02, requestShare: 0.1, requestCount: 1 },
  /** Buckets of the digest; 11,000 contracts make 43 per bucket. */
  digestBuckets: 256,
  /** Buckets per request for versions, and keys per request for records. */
  bucketsPerPull: 64,
  recordsPerPull: 64,
  /** Size at which a reply with records is cut off; the rest is requested again. */
  maxPullBytes: 1_048_576,
  /** Timeout of one request of a pull. */
  pullTimeoutMs: 5_000,
  /** Largest pull whose records are forwarded; a node that lacks more joined late. */
  maxForwardedRecords: 16,
  /** Larger sets of changes aren't pushed; the neighbours pull what they lack. */
  maxPushBytes: 65_536,
} as const;
