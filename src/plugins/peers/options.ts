/** Tunables of the links between nodes. */
export const PEER_OPTIONS = {
  /** Largest frame; room for a pull of 256 contracts of 4 KB and for the answer of a service. */
  maxFrameBytes: 8_388_608,
  /** Largest frame before the other side is authenticated. */
  maxHandshakeFrameBytes: 1_024,
  /** Time limit for connecting and authenticating. */
  handshakeTimeoutMs: 2_000,
  /** Unsent bytes at which a link counts as stalled and is closed. */
  maxUnsentBytes: 16_777_216,
  /** Frames read ahead before the socket is paused, and at which it is resumed. */
  readAheadFrames: 64,
  resumeAtFrames: 16,
  /** After a call without a reply, time for the peer to show that the link still works. */
  probeTimeoutMs: 1_000,
  /** A link that carried nothing for this long is closed, except for the few that are kept. */
  idleCloseMs: 60_000,
  /** Idle links that stay open, the most recently used first. */
  maxIdleLinks: 8,
  /** Interval between looks for idle links. */
  idleCheckIntervalMs: 5_000,
} as const;
