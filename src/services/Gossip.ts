/**
 * The gossip protocol, by which nodes exchange state.
 */

/** @public */
export abstract class Gossip {
  /** Asks the neighbours to pull this node's state now instead of in their next round. */
  abstract announce(): void;
}
