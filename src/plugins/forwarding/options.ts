/** Tunables of the forwarding of requests to endpoints. */
export const FORWARDING_OPTIONS = {
  /** Time limit for opening a connection to an endpoint; a lost first packet takes a second. */
  connectTimeoutMs: 500,
  /**
   * Rest of a connection after an answer. A second answer to the same request arrives in it and
   * closes the connection, instead of being met by the next request.
   */
  reuseDelayMs: 250,
  /** Idle time after which a connection isn't used again where the endpoint names no timeout. */
  defaultIdleTimeoutMs: 3_000,
  /** Time before the endpoint's own idle timeout at which a connection isn't used any more. */
  idleTimeoutMarginMs: 1_000,
  /** Part of the connections of an endpoint that the nodes share out among themselves. */
  connectionShare: 0.8,
  /** Connections to an endpoint that every node may open, however many nodes there are. */
  minConnections: 4,
  /** Bodies up to this size are kept, so that they can be sent again. */
  maxReplayableBodyBytes: 65_536,
  /** Answers up to this size reach the caller only when they are complete. */
  maxBufferedResponseBytes: 262_144,
  /** Age of the confirmation up to which a request with a key is served, under the bound. */
  confirmationMarginMs: 400,
  /** Time to come back after a refusal. */
  retryAfterMs: 150,
  /** The same when this node can't take anything and another one has to be used. */
  otherNodeRetryAfterMs: 20,
  /** Part of the time for a prompt answer after which a repeatable request is sent once more. */
  hedgeDelayShare: 0.45,
  /** Part of the time for a prompt first event that a request waits at the node for room. */
  maxHoldShare: 0.4,
  /** Remaining output below which a run isn't moved away from a leaving engine. */
  minMigrationTokens: 80,
  /** Time after which a run that was nearly done on a leaving engine is moved all the same. */
  nearlyDoneGraceMs: 450,
  /** Interval at which streams look whether their engine has gone silent. */
  silenceCheckIntervalMs: 250,
  /** Time limit for an order to copy a run's memory. */
  copyTimeoutMs: 2_500,
  /** Pause before all engines are asked again for room for a run that has to move. */
  migrationRetryMs: 60,
  /** Time to come back while no node takes callers, as when all of them start anew. */
  noNodeRetryAfterMs: 1_000,
  /** Expected output of a generation up to which a node that shuts down still takes it. */
  drainMaxTokens: 150,
  /** After the signal to stop: how long short requests are still taken. */
  drainAcceptMs: 2_500,
  /** Time before the process is killed at which it ends by itself. */
  exitMarginMs: 350,
  /** Interval at which senders of requests are checked against their time limits. */
  callerCheckIntervalMs: 500,
  /** Share by which an idle connection of a caller is kept beyond its idle timeout. */
  callerIdleFactor: 1.25,
} as const;
