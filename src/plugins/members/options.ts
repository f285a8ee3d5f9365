/** Tunables of the exchange of states between nodes. */
export const MEMBER_OPTIONS = {
  /** Pause between two exchanges with the same node. */
  intervalMs: 450,
  /** Silence of a node whose turn it is after which this node starts the exchange. */
  takeOverTurnAfterMs: 1_000,
  /** Share by which the pause varies at random. */
  jitterShare: 0.2,
  /** Exchanges that one node starts a second; with more members each is asked less often. */
  exchangesPerSecond: 24,
  /** Up to this many members a node tells each new piece of work at once. */
  maxAnnounceMembers: 16,
  /** Time limit of one exchange. */
  callTimeoutMs: 700,
  /** Silence after which callers aren't sent to a node. */
  unresponsiveAfterMs: 1_800,
  /** Silence after which a node is forgotten unless the settings name its address. */
  evictAfterMs: 30_000,
  /** Pause between two tries to reach an address at which nobody was found. */
  joinRetryIntervalMs: 500,
  /** Interval at which the tasks are matched with the known members. */
  superviseIntervalMs: 200,
  /** Age up to which the work that a node told of is counted. */
  maxLoadAgeMs: 3_000,
} as const;
