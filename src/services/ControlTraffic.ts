/**
 * What a node spends on links to other nodes.
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
  /** Counts by message type; a reply counts for the type of its request. */
  abstract listByType(): ReadonlyMap<string, TrafficCount>;
}
