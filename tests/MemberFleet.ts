/**
 * A fleet of nodes in one process that exchange their states over a network in memory. Each node
 * reports a fixed load, so that a test can tell what the sums of the others have to be.
 */
import type { EndpointId, VmId } from '../src/core';
import type { EndpointLoad } from '../src/decisions';
import { Plugin, type PluginClass } from '../src/kernel';
import { MembersPlugin } from '../src/plugins/members';
import {
  EntryDirectory,
  LoadSource,
  Members,
  SeedAddresses,
  type EntryAnswer,
} from '../src/services';
import { MemoryNetwork } from './MemoryNetwork';
import type { TestNode } from './TestNode';

export const ENDPOINT = 'engine-1' as EndpointId;

const DATA_CENTRES = ['seq-1', 'seq-2', 'seq-3', 'fnq-1', 'fnq-2', 'fnq-3'] as const;

class FixedLoad extends LoadSource {
  constructor(private readonly endpoints: number) {
    super();
  }

  override listLoads(): ReadonlyArray<EndpointLoad> {
    const load = { requests: 1, heldTokens: 10, finalTokens: 20, pendingPrefillTokens: 5 };
    return Array.from({ length: this.endpoints }, (_, index) => ({
      ...load,
      endpointId: `engine-${index + 1}` as EndpointId,
      paceMs: 8,
    }));
  }
}

class OpenDirectory extends EntryDirectory {
  takesCallers(): boolean {
    return true;
  }

  findAddresses(): EntryAnswer {
    return { addresses: [], maxAgeMs: 0 };
  }
}

class FixedSeeds extends SeedAddresses {
  constructor(private readonly addresses: ReadonlyArray<string>) {
    super();
  }

  listAddresses(): ReadonlyArray<string> {
    return this.addresses;
  }
}

function createStub(seeds: ReadonlyArray<string>, endpoints: number): PluginClass {
  return class MemberStubPlugin extends Plugin {
    static override readonly type = 'member-stub';

    override setUp(): void {
      this.kernel.provide(EntryDirectory, new OpenDirectory());
      this.kernel.provide(LoadSource, new FixedLoad(endpoints));
      this.kernel.provide(SeedAddresses, new FixedSeeds(seeds));
    }
  };
}

const getAddress = (index: number): string => `10.0.${Math.floor(index / 200)}.${index % 200}:7000`;

export class MemberFleet {
  private constructor(
    readonly network: MemoryNetwork,
    private readonly dataCentres: number,
    private readonly endpoints: number,
    private readonly plugins: ReadonlyArray<PluginClass>,
  ) {}

  /**
   * @param dataCentres over which the nodes are spread evenly.
   * @param endpoints on which each node reports a load.
   * @param plugins of each node besides the membership.
   */
  static async start(
    seed: number,
    nodes: number,
    dataCentres: number,
    endpoints = 1,
    plugins: ReadonlyArray<PluginClass> = [],
  ): Promise<MemberFleet> {
    let state = seed;
    const fleet = new MemberFleet(
      new MemoryNetwork(() => {
        state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
        return state / 2 ** 31;
      }),
      dataCentres,
      endpoints,
      plugins,
    );
    for (let index = 0; index < nodes; index++) await fleet.startNode(index);
    return fleet;
  }

  get nodes(): ReadonlyArray<TestNode> {
    return [...this.network.nodes.values()];
  }

  /** Starts the node with this index, or a new process of it. */
  async startNode(index: number): Promise<TestNode> {
    const dataCentre = DATA_CENTRES.slice(0, this.dataCentres)[index % this.dataCentres] ?? 'seq-1';
    return this.network.start({
      vmId: `front-${index}`,
      settings: {
        dataCentre,
        region: dataCentre.slice(0, 3),
        peerAddress: getAddress(index),
        callerAddress: getAddress(index),
      },
      fleet: MembersPlugin,
      plugins: [
        createStub([getAddress(0), getAddress(1), getAddress(2)], this.endpoints),
        ...this.plugins,
      ],
    });
  }

  async kill(indexes: ReadonlyArray<number>): Promise<void> {
    await Promise.all(indexes.map(async (index) => this.network.kill(`front-${index}`)));
  }

  /** Lists for each node how many others it takes for live. */
  listLiveCounts(): ReadonlyArray<number> {
    return this.nodes.map((node) => node.get(Members).listLive().length);
  }

  /** Lists for each node the requests of others that it sees on the endpoint. */
  listRequestsOfOthers(): ReadonlyArray<number> {
    return this.nodes.map((node) => node.get(Members).getLoadOfOthers(ENDPOINT).requests);
  }

  /** Lists for each node whether it takes another one for live. */
  listSeen(vmId: string): ReadonlyArray<boolean> {
    return this.nodes.map((node) =>
      node
        .get(Members)
        .listLive()
        .some((member) => member.vmId === (vmId as VmId)),
    );
  }

  /** Runs until a condition holds; returns the time that it took, Infinity beyond the limit. */
  async runUntil(maxMs: number, isTrue: () => boolean): Promise<number> {
    const startMs = this.network.timeMs;
    while (this.network.timeMs - startMs < maxMs) {
      await this.network.run(50);
      if (isTrue()) return this.network.timeMs - startMs;
    }
    return Infinity;
  }

  async stop(): Promise<void> {
    await this.network.stop();
  }
}
