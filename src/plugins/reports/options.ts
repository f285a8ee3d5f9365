/** Tunables of polling the endpoints. */
export const REPORT_OPTIONS = {
  /** Interval between the starts of two polls of one endpoint. */
  pollIntervalMs: 1_000,
  /** Time limit of one poll; the next one waits for it. */
  pollTimeoutMs: 1_000,
  /** Nodes that poll each endpoint. */
  pollersPerEndpoint: 2,
  /** Interval at which a node checks which endpoints it polls. */
  pollerCheckIntervalMs: 1_000,
} as const;
