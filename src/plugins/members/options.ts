/** Options of the exchange of states between nodes. */
export const MEMBER_OPTIONS = {
  /** Pause between two exchanges with the same node. */
  intervalMs: 450,
  /** Age of the state of a node whose turn it is at which this node starts the exchange itself. */
  takeOverTurnAfterMs: 1_000,
  /** Share by which the pause varies at random. */
  jitterShare: 0.2,
  /** Pause between two exchanges with a seed that is no partner, by which parted fleets meet. */
  seedIntervalMs: 2_000,
  /** Timeout of one exchange. */
  callTimeoutMs: 700,
  /** Exchanges in a row by which a node fetches identities that it lacks. */
  maxFetchRounds: 3,
  /** How long another node is preferred to one that didn't answer. */
  failedForMs: 2_000,
  /** The same if nobody else has heard from it either; long enough to try the others first. */
  silentFailedForMs: 15_000,
  /** Time without a sign of a node after which callers are no longer sent to it. */
  unresponsiveAfterMs: 1_800,
  /** Time since a node was heard from within which it is listed in a summary. */
  listedWithinMs: 1_200,
  /** Age up to which a summary counts. */
  maxSummaryAgeMs: 2_500,
  /** Newest summaries of each data centre that are passed on. */
  summariesPerDataCentre: 2,
  /** How long a list of the live nodes is reused. */
  liveListReuseMs: 50,
  /** How long the own summary and its sums are reused for other exchanges. */
  summaryReuseMs: 100,
  /** Time since a node was asked as an aggregator for which it acts as one. */
  askedWithinMs: 2_000,
  /** Time since the start within which a node that knows no other one doesn't read the source. */
  discoveryMs: 100,
  /**
   * Time since the start after which a node that no other answers goes on by what it has. Nodes that
   * knew its process before try it again within the retry interval and the timeout of one call.
   */
  joinTimeoutMs: 1_500,
  /** Nodes whose revisions of shared states are remembered; the content is sent again to others. */
  maxSharingPeers: 4_096,
  /** Age at which a node is evicted; one at a seed address of the settings is contacted again. */
  evictAfterMs: 30_000,
  /** How long nodes that are gone still count where a budget is divided among the nodes. */
  sharingRetentionMs: 30_000,
  /** Interval of the evictions. */
  evictIntervalMs: 5_000,
  /** Time since the start within which a node takes no share of a budget, as it may know too few. */
  sharingSettleMs: 5_000,
  /**
   * How long nodes that are gone may be running unseen. Parts of a fleet that are cut off from each
   * other for longer divide a quota as if each were alone.
   */
  rosterRetentionMs: 7_200_000,
  /** Time since a node was heard of after which unknown nodes may have joined together with it. */
  unheardAfterMs: 2_500,
  /**
   * Time since a node joined within which it takes no share of a quota. It exceeds the time above, after
   * which nodes that are cut off from it expect unknown nodes, and the delay of a summary.
   */
  rosterSettleMs: 7_000,
  /** Retry interval for an address at which no node answers. */
  joinRetryIntervalMs: 500,
  /** Interval of the choice of partners. */
  superviseIntervalMs: 200,
  /** Age up to which the load of other nodes is counted. */
  maxLoadAgeMs: 3_000,
} as const;
