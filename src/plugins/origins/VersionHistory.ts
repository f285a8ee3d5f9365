/**
 * Which software versions the endpoints of each service had, and since when this node has followed the
 * list of endpoints without a gap.
 */
import type { ClockReading, VersionSightings } from '../../decisions';
import type { KnownBackEnd } from '../../services';
import { ORIGINS_OPTIONS } from './options';

/** The state of the list at one time. @internal */
export interface Observation extends ClockReading {
  /** Whether this node follows the list. */
  readonly isCurrent: boolean;
  /** How many times changes of the list may have been missed until then. */
  readonly listGaps: number;
}

/** @internal */
export class VersionHistory {
  /** By service, then by version; monotonic times. */
  private readonly lastSeenMs = new Map<string, Map<string, number>>();

  private followingSinceMs: number | undefined;

  private last: Observation | undefined;

  /** Time since which the list has been followed without a gap; undefined in a gap. */
  get followedSinceMs(): number | undefined {
    return this.followingSinceMs;
  }

  observe(backEnds: ReadonlyArray<KnownBackEnd>, observation: Observation): void {
    const { nowMs, isCurrent } = observation;
    if (!isCurrent || this.hasGap(observation)) this.followingSinceMs = undefined;
    if (isCurrent) this.followingSinceMs ??= nowMs;
    this.last = observation;
    backEnds.forEach(({ service, softwareVersion = '' }) => {
      const versions = this.lastSeenMs.get(service) ?? new Map<string, number>();
      this.lastSeenMs.set(service, versions.set(softwareVersion, nowMs));
    });
    this.forgetOld(nowMs);
  }

  describe(service: string, windowMs: number, nowMs: number): Omit<VersionSightings, 'listAgeMs'> {
    // A version may have left at any time up to the next observation.
    const sinceMs = nowMs - windowMs - ORIGINS_OPTIONS.observeIntervalMs;
    const seen = [...(this.lastSeenMs.get(service) ?? [])];
    const versions = seen.filter(([, seenMs]) => seenMs >= sinceMs).map(([version]) => version);
    const coveredForMs = this.followingSinceMs === undefined ? 0 : nowMs - this.followingSinceMs;
    return { versions, coveredForMs };
  }

  /** Whether endpoints may have come and gone since the last observation. */
  private hasGap({ nowMs, wallMs, listGaps }: Observation): boolean {
    const { last } = this;
    if (!last) return true;
    // The monotonic clock stops while the machine is suspended.
    const elapsedMs = Math.max(nowMs - last.nowMs, wallMs - last.wallMs);
    return listGaps !== last.listGaps || elapsedMs > ORIGINS_OPTIONS.maxGapMs;
  }

  private forgetOld(nowMs: number): void {
    this.lastSeenMs.forEach((versions, service) => {
      versions.forEach((seenMs, version) => {
        if (nowMs - seenMs > ORIGINS_OPTIONS.versionMemoryMs) versions.delete(version);
      });
      if (versions.size === 0) this.lastSeenMs.delete(service);
    });
  }
}
