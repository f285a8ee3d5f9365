/**
 * The summaries in which nodes tell whom they have heard from, by the node that made each of them.
 *
 * A summary is passed on with its age, so that it expires everywhere at the same time. What two
 * nodes pass to each other can therefore not keep a node alive that nobody hears from.
 */
import type { VmId } from '../../core';
import type { LoadSums } from '../../decisions';
import { MEMBER_OPTIONS } from './options';

interface TimedLoadSums {
  /** Monotonic time at or after which the loads were added up. */
  readonly takenAtMs: number;
  readonly sums: LoadSums;
}

/** @internal */
export interface FleetSummary {
  readonly origin: VmId;
  readonly dataCentre: string;
  /** Monotonic time at or after which the summary was made. */
  readonly takenAtMs: number;
  readonly membersHash: number;
  /** Hashes of the identities of the members, including the origin. */
  readonly members: ReadonlyArray<number>;
  /** Loads of the nodes of the data centre, if the origin is an aggregator and sent them itself. */
  readonly loads: TimedLoadSums | undefined;
}

/** @internal */
export class FleetSummaries {
  private readonly byOrigin = new Map<VmId, FleetSummary>();

  /**
   * Stores a summary unless a newer one of its origin is known; one that is passed on has no loads.
   * Returns whether the members are others than before.
   */
  store(summary: FleetSummary): boolean {
    const before = this.byOrigin.get(summary.origin);
    if (before && before.takenAtMs > summary.takenAtMs) return false;
    this.byOrigin.set(summary.origin, { ...summary, loads: summary.loads ?? before?.loads });
    return before?.membersHash !== summary.membersHash;
  }

  /** Returns a known list of members by its hash. */
  findMembers(membersHash: number): ReadonlyArray<number> | undefined {
    return [...this.byOrigin.values()].find((summary) => summary.membersHash === membersHash)
      ?.members;
  }

  listFresh(nowMs: number): ReadonlyArray<FleetSummary> {
    return [...this.byOrigin.values()].filter(
      ({ takenAtMs }) => nowMs - takenAtMs < MEMBER_OPTIONS.maxSummaryAgeMs,
    );
  }

  /** Returns the newest summaries of each data centre, which are passed on to other nodes. */
  listForRelay(nowMs: number): ReadonlyArray<FleetSummary> {
    const newestFirst = [...this.listFresh(nowMs)].sort((a, b) => b.takenAtMs - a.takenAtMs);
    const counts = new Map<string, number>();
    return newestFirst.filter(({ dataCentre }) => {
      const count = (counts.get(dataCentre) ?? 0) + 1;
      counts.set(dataCentre, count);
      return count <= MEMBER_OPTIONS.summariesPerDataCentre;
    });
  }

  evictBefore(takenBeforeMs: number): void {
    [...this.byOrigin.values()]
      .filter(({ takenAtMs }) => takenAtMs < takenBeforeMs)
      .forEach(({ origin }) => this.byOrigin.delete(origin));
  }
}
