/**
 * Which of the requests that a node has placed at an endpoint count against a quota, and from when the
 * window of each runs.
 */
import type { PlacedSend } from './requestQuota';

/** A request that a node has placed at an endpoint. @public */
export interface EndpointSend {
  /** Monotonic time at which it was written to the connection; undefined before. */
  readonly writtenAtMs: number | undefined;
  /** Monotonic time at which it ended; undefined while it runs. */
  readonly endedAtMs: number | undefined;
  /** Whether its answer was complete by then, so that it holds no place at the endpoint any more. */
  readonly isComplete: boolean;
}

/** @public */
export abstract class SendCounting {
  /** Monotonic time; infinite while it isn't known, and minus infinity for one that doesn't count. */
  abstract getWindowStartMs(send: EndpointSend): number;

  list(sends: ReadonlyArray<EndpointSend>): ReadonlyArray<PlacedSend> {
    return sends.map((send) => ({ windowStartMs: this.getWindowStartMs(send) }));
  }
}

class WriteCounting extends SendCounting {
  override getWindowStartMs({ writtenAtMs = Infinity }: EndpointSend): number {
    return writtenAtMs;
  }
}

class PlaceCounting extends SendCounting {
  override getWindowStartMs({ endedAtMs = Infinity, isComplete }: EndpointSend): number {
    return isComplete ? -Infinity : endedAtMs;
  }
}

/** Counts each request until a window after it was written. */
export const WRITE_COUNTING: SendCounting = new WriteCounting();

/**
 * Counts the places that requests may hold at the endpoint. One that was rejected, or that ended
 * without a complete answer, counts for a window longer.
 */
export const PLACE_COUNTING: SendCounting = new PlaceCounting();
