/** Options of the links between nodes. */
export const PEER_OPTIONS = {
  /** Largest frame; fits a pull of 256 contracts of 4 KB and the answer of a service. */
  maxFrameBytes: 8_388_608,
  /** Largest frame before the other side is authenticated. */
  maxHandshakeFrameBytes: 1_024,
  /** Received bytes until the other side is authenticated; its first frames may arrive with the last. */
  maxHandshakeBytes: 131_072,
  /** Limits for the request that opens a link. */
  maxHeadBytes: 8_192,
  maxHeadLines: 50,
  /** Timeout of connecting and authenticating. */
  handshakeTimeoutMs: 2_000,
  /** Unsent bytes at which a link counts as stalled and is closed. */
  maxUnsentBytes: 16_777_216,
  /** Frames read ahead before the socket is paused, and at which it is resumed. */
  readAheadFrames: 64,
  resumeAtFrames: 16,
  /** After a call times out, time for the peer to answer a ping before the link is closed. */
  probeTimeoutMs: 1_000,
  /** Links without traffic for this long are closed, except for the few that are kept. */
  idleCloseMs: 60_000,
  /** Most idle links that stay open; the most recently used are kept. */
  maxIdleLinks: 8,
  /** Interval of the checks for idle links. */
  idleCheckIntervalMs: 5_000,
} as const;
