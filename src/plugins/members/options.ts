/** Options of the exchange of member states between nodes. */
export const MEMBER_OPTIONS = {
  /** Pause between two exchanges with the same node. */
  intervalMs: 450,
  /** Age of the state of a node whose turn it is at which this node starts the exchange itself. */
  takeOverTurnAfterMs: 1_000,
  /** Share by which the pause varies at random. */
  jitterShare: 0.2,
  /** Most exchanges that one node starts per second; with more members, intervals are longer. */
  exchangesPerSecond: 24,
  /** Up to this many members, each change of this node's load is announced at once. */
  maxAnnounceMembers: 16,
  /** Timeout of one exchange. */
  callTimeoutMs: 700,
  /** Age of a node's state at which callers are no longer sent to the node. */
  unresponsiveAfterMs: 1_800,
  /** Age at which a node is evicted; one at a seed address of the settings is contacted again. */
  evictAfterMs: 30_000,
  /** Retry interval for an address at which no node answers. */
  joinRetryIntervalMs: 500,
  /** Interval of the evictions and of starting tasks for seed addresses. */
  superviseIntervalMs: 200,
  /** Age up to which the load that a node reported is counted. */
  maxLoadAgeMs: 3_000,
} as const;
