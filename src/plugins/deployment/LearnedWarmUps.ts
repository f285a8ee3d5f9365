/**
 * How long endpoints stay cold by their own answers, which are newer than their published entries.
 */
import type { BackEnd, EndpointId } from '../../core';

interface LearnedWarmUp {
  readonly startedAtWallMs: number;
  readonly untilMs: number;
}

/** @internal */
export class LearnedWarmUps {
  private readonly byEndpoint = new Map<EndpointId, LearnedWarmUp>();

  /** Records the end of a warm-up, unless a later one is known of the same process. */
  record({ endpointId, startedAtWallMs }: BackEnd, untilMs: number): void {
    const known = this.byEndpoint.get(endpointId);
    if (known?.startedAtWallMs === startedAtWallMs && known.untilMs >= untilMs) return;
    this.byEndpoint.set(endpointId, { startedAtWallMs, untilMs });
  }

  /** Returns the end of the warm-up of a process; minus infinity if its answers named none. */
  getUntilMs({ endpointId, startedAtWallMs }: BackEnd): number {
    const known = this.byEndpoint.get(endpointId);
    return known?.startedAtWallMs === startedAtWallMs ? known.untilMs : -Infinity;
  }

  forget(endpointId: EndpointId): void {
    this.byEndpoint.delete(endpointId);
  }
}
