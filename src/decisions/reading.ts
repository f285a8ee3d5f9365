/**
 * Decides whether a node reads a published source itself or relies on its data centre's readers.
 */

/** @public */
export interface ReadingView {
  /** Whether the node is one of the chosen readers of its data centre. */
  readonly isChosen: boolean;
  /** Age of the newest confirmation that reached the node. */
  readonly confirmedAgeMs: number;
  /** Whether the node's copy has been complete at least once. */
  readonly isComplete: boolean;
  /** Whether the node knows other nodes that it could get a copy from. */
  readonly hasPeers: boolean;
  /** Time since the node started. */
  readonly runningMs: number;
}

/** @public */
export interface ReadingLimits {
  /** Time that a new node waits for a copy from its peers before it reads the source. */
  readonly askPeersMs: number;
  /** Age of the newest confirmation at which a node stops relying on the readers. */
  readonly takeOverAgeMs: number;
  /** This node's jitter, which keeps all nodes from reading at the same time. */
  readonly jitterMs: number;
}

/** @public */
export interface ReadingVerdict {
  readonly read: boolean;
  readonly reason: string;
}

export function decideReading(view: ReadingView, limits: ReadingLimits): ReadingVerdict {
  if (!view.isComplete) {
    if (!view.hasPeers) return { read: true, reason: 'no peers are known' };
    return view.runningMs >= limits.askPeersMs + limits.jitterMs
      ? { read: true, reason: 'no peer sent a complete copy' }
      : { read: false, reason: 'peers are asked first' };
  }
  if (view.isChosen) return { read: true, reason: 'this node is a reader of its data centre' };
  return view.confirmedAgeMs > limits.takeOverAgeMs + limits.jitterMs
    ? { read: true, reason: 'no update was received from the readers' }
    : { read: false, reason: 'the readers keep this node up to date' };
}
