/**
 * Traffic of a node on its links to other nodes.
 */

/** Frames and bytes of one message type since the start of the node. @public */
export interface TrafficCount {
  readonly sentBytes: number;
  readonly sentFrames: number;
  readonly receivedBytes: number;
  readonly receivedFrames: number;
}

/** @public */
export abstract class ControlTraffic {
  /** Returns counts by message type; a reply counts towards the type of its request. */
  abstract listByType(): ReadonlyMap<string, TrafficCount>;
}
