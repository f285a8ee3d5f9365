/**
 * Whether a node reads a published source itself at this moment.
 */

/** @public */
export interface ReadingView {
  /** Whether the node is one of the chosen readers of its data centre. */
  readonly isChosen: boolean;
  /** Age of the newest confirmation that reached the node. */
  readonly confirmedAgeMs: number;
  /** Whether the node's copy has ever been complete. */
  readonly isComplete: boolean;
  /** Whether the node knows other nodes that it could learn from. */
  readonly hasPeers: boolean;
  /** Time since the node started. */
  readonly runningMs: number;
}

/** @public */
export interface ReadingLimits {
  /** Time that a new node gives its peers before it asks the service. */
  readonly askPeersMs: number;
  /** Age of the newest confirmation at which a node stops relying on the readers. */
  readonly takeOverAgeMs: number;
  /** This node's own share of the jitter, which keeps nodes from reading all at once. */
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
      ? { read: true, reason: 'no peer gave a complete copy' }
      : { read: false, reason: 'peers are asked first' };
  }
  if (view.isChosen) return { read: true, reason: 'this node is a reader of its data centre' };
  return view.confirmedAgeMs > limits.takeOverAgeMs + limits.jitterMs
    ? { read: true, reason: 'nothing was heard from the readers' }
    : { read: false, reason: 'the readers keep this node current' };
}
