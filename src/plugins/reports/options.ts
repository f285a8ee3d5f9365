/** Options of polling endpoints. */
export const REPORT_OPTIONS = {
  /** Interval between the starts of two polls of one endpoint. */
  pollIntervalMs: 1_000,
  /**
   * Timeout of one poll. Shorter than the interval, so that the endpoint sees the end of a poll that
   * timed out before the next one arrives.
   */
  pollTimeoutMs: 850,
  /** Longest report; an endpoint in trouble may send one without end. */
  maxReportBytes: 1_048_576,
  /** Nodes that poll each endpoint. */
  pollersPerEndpoint: 2,
  /** Interval at which a node checks which endpoints it polls. */
  pollerCheckIntervalMs: 1_000,
} as const;
