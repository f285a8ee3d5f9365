/** Options of polling endpoints. */
export const REPORT_OPTIONS = {
  /** Interval between the starts of two polls of one endpoint. */
  pollIntervalMs: 1_000,
  /** Timeout of one poll; the next poll starts only after it. */
  pollTimeoutMs: 1_000,
  /** Longest report; an endpoint in trouble may send one without end. */
  maxReportBytes: 1_048_576,
  /** Nodes that poll each endpoint. */
  pollersPerEndpoint: 2,
  /** Interval at which a node checks which endpoints it polls. */
  pollerCheckIntervalMs: 1_000,
} as const;
