/**
 * The exchange of state between nodes.
 */

/** @public */
export abstract class Gossip {
  /** Asks the neighbours to fetch this node's state now instead of in their next round. */
  abstract announce(): void;
}
