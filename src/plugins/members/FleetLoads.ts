/**
 * The load of the other nodes on the endpoints, by the role of this node in the exchange.
 *
 * In a full mesh it is added up from the states of all nodes. An aggregator adds the states of its
 * data centre to the sums of the other data centres. Any other node receives the sums from its
 * aggregator, which leaves out what the node itself had reported.
 */
import type { EndpointId, VmId } from '../../core';
import {
  combineDataCentreLoads,
  combineLoadSums,
  NO_LOAD,
  subtractLoads,
  sumLoads,
  type EndpointLoad,
  type ExchangeRole,
  type LoadSum,
  type LoadSums,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { LoadSource } from '../../services';
import type { DirectState, MemberTable } from './MemberTable';
import { MEMBER_OPTIONS } from './options';

interface FleetSums {
  readonly madeAtMs: number;
  readonly sums: LoadSums;
  /** Loads that the sums contain, by the node that reported them. */
  readonly parts: ReadonlyMap<VmId, ReadonlyArray<EndpointLoad>>;
}

interface OthersLoads {
  readonly madeAtMs: number;
  readonly sums: LoadSums;
}

interface ReceivedSums {
  readonly takenAtMs: number;
  readonly sums: LoadSums;
}

/** @internal */
export class FleetLoads {
  private others: OthersLoads | undefined;

  private received: ReceivedSums = { takenAtMs: -Infinity, sums: new Map() };

  private fleetSums: FleetSums | undefined;

  constructor(
    private readonly kernel: Kernel,
    private readonly table: MemberTable,
  ) {}

  listOwn(): ReadonlyArray<EndpointLoad> {
    return this.kernel.getAll(LoadSource).flatMap((source) => source.listLoads());
  }

  getLoadOfOthers(endpointId: EndpointId, role: ExchangeRole): LoadSum {
    const nowMs = this.kernel.clock.nowMs();
    // Added up again after a while even if no exchange arrives, so that old loads expire.
    if (!this.others || nowMs - this.others.madeAtMs >= MEMBER_OPTIONS.summaryReuseMs) {
      this.others = { madeAtMs: nowMs, sums: this.computeOthers(role) };
    }
    return this.others.sums.get(endpointId) ?? NO_LOAD;
  }

  getAgeMs(role: ExchangeRole): number {
    if (role === 'mesh') return 0;
    if (role === 'aggregator') return MEMBER_OPTIONS.intervalMs;
    // What the aggregator had of other data centres was as old as the pause between two exchanges.
    const { maxLoadAgeMs, intervalMs } = MEMBER_OPTIONS;
    return Math.min(maxLoadAgeMs, this.kernel.clock.nowMs() - this.received.takenAtMs + intervalMs);
  }

  /** Makes the next reading of a load add up the loads again. */
  invalidate(): void {
    this.others = undefined;
  }

  /** Stores the sums that an aggregator of the own data centre sent. */
  receive(sums: LoadSums, takenAtMs: number): void {
    if (takenAtMs > this.received.takenAtMs) this.received = { takenAtMs, sums };
  }

  /** Returns the loads of the nodes of the own data centre, including this one. */
  sumDataCentre(): LoadSums {
    return sumLoads([this.listOwn(), ...this.listNeighbours().map(({ loads }) => loads)]);
  }

  /** Returns the loads of all nodes except for one of the own data centre. */
  sumForNode(vmId: VmId): LoadSums {
    const { sums, parts } = this.sumFleet();
    return subtractLoads(sums, parts.get(vmId) ?? []);
  }

  private computeOthers(role: ExchangeRole): LoadSums {
    if (role === 'mesh') {
      const direct = this.table.listDirect(MEMBER_OPTIONS.maxLoadAgeMs);
      return sumLoads(direct.map(({ loads }) => loads));
    }
    if (role === 'aggregator') {
      const neighbours = sumLoads(this.listNeighbours().map(({ loads }) => loads));
      return combineLoadSums([neighbours, this.sumOtherDataCentres()]);
    }
    const { takenAtMs, sums } = this.received;
    return this.kernel.clock.nowMs() - takenAtMs < MEMBER_OPTIONS.maxLoadAgeMs ? sums : new Map();
  }

  /** Reused for a short time, as many nodes ask for nearly the same sums. */
  private sumFleet(): FleetSums {
    const nowMs = this.kernel.clock.nowMs();
    const { summaryReuseMs } = MEMBER_OPTIONS;
    if (this.fleetSums && nowMs - this.fleetSums.madeAtMs < summaryReuseMs) return this.fleetSums;
    const parts = new Map(
      this.listNeighbours().map(({ identity, loads }) => [identity.vmId, loads]),
    );
    const dataCentre = sumLoads([this.listOwn(), ...parts.values()]);
    const sums = combineLoadSums([dataCentre, this.sumOtherDataCentres()]);
    this.fleetSums = { madeAtMs: nowMs, sums, parts };
    return this.fleetSums;
  }

  private sumOtherDataCentres(): LoadSums {
    const { dataCentre: own } = this.kernel.settings;
    const nowMs = this.kernel.clock.nowMs();
    const parts = this.table.summaries
      .listFresh(nowMs)
      .flatMap(({ dataCentre, loads }) =>
        loads && dataCentre !== own ? [{ dataCentre, ...loads }] : [],
      )
      .filter(({ takenAtMs }) => nowMs - takenAtMs < MEMBER_OPTIONS.maxLoadAgeMs);
    return combineDataCentreLoads(parts);
  }

  private listNeighbours(): ReadonlyArray<DirectState> {
    const { dataCentre } = this.kernel.settings;
    return this.table
      .listDirect(MEMBER_OPTIONS.maxLoadAgeMs)
      .filter(({ identity }) => identity.dataCentre === dataCentre);
  }
}
