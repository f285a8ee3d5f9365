/**
 * Counts the frames and bytes on the links of this node by message type.
 */
import { ControlTraffic, type TrafficCount } from '../../services';

const ZERO: TrafficCount = { sentBytes: 0, sentFrames: 0, receivedBytes: 0, receivedFrames: 0 };

/** @internal */
export class TrafficCounter extends ControlTraffic {
  private readonly counts = new Map<string, TrafficCount>();

  listByType(): ReadonlyMap<string, TrafficCount> {
    return this.counts;
  }

  recordSent(type: string, bytes: number): void {
    const count = this.counts.get(type) ?? ZERO;
    const { sentBytes, sentFrames } = count;
    this.counts.set(type, {
      ...count,
      sentBytes: sentBytes + bytes,
      sentFrames: sentFrames + 1,
    });
  }

  recordReceived(type: string, bytes: number): void {
    const count = this.counts.get(type) ?? ZERO;
    const { receivedBytes, receivedFrames } = count;
    this.counts.set(type, {
      ...count,
      receivedBytes: receivedBytes + bytes,
      receivedFrames: receivedFrames + 1,
    });
  }
}
