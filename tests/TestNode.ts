/**
 * A node for tests: links on 127.0.0.1 or in memory, the records that the test merges, captured log lines.
 */
import { SystemClock, type Clock, type Settings, type Vm } from '../src/core';
import { Kernel, Log, Plugin, type LogFields, type PluginClass } from '../src/kernel';
import { createTestSettings } from '../src/kernel/createTestSettings';
import { FleetPlugin } from '../src/plugins/fleet';
import { PeersPlugin } from '../src/plugins/peers';
import { CompleteRevisions } from '../src/plugins/published/CompleteRevisions';
import { PublishedStore } from '../src/plugins/published/PublishedStore';
import { PublishedState, SourceProgress } from '../src/services';

/** Holds published records without reading the platform. */
export class StaticRecordsPlugin extends Plugin {
  static override readonly type = 'held-records';

  override setUp(): void {
    this.kernel.provide(PublishedState, new PublishedStore(this.kernel.clock));
    this.kernel.provide(SourceProgress, new CompleteRevisions());
  }
}

export interface TestNodeOptions {
  readonly vmId: string;
  readonly settings?: Partial<Settings>;
  readonly clock?: Clock;
  /** Plug-ins besides links and fleet; set up after them. */
  readonly plugins?: ReadonlyArray<PluginClass>;
  /** Holder of the published records; without readers by default. */
  readonly published?: PluginClass;
  /** Links to other nodes; sockets on 127.0.0.1 by default. */
  readonly links?: PluginClass;
}

export class TestNode extends Kernel {
  private readonly lines: string[];

  constructor({ vmId, settings, clock, plugins = [], published, links }: TestNodeOptions) {
    const lines: string[] = [];
    super({
      settings: createTestSettings({ vmId, ...settings }),
      clock: clock ?? new SystemClock(),
      log: new Log({ level: 'debug', fields: {}, write: (line) => lines.push(line) }),
      plugins: [published ?? StaticRecordsPlugin, FleetPlugin, links ?? PeersPlugin, ...plugins],
    });
    this.lines = lines;
  }

  get logLines(): ReadonlyArray<LogFields> {
    return this.lines.map((line) => JSON.parse(line) as LogFields);
  }

  get peerAddress(): string {
    return String(this.logLines.find(({ event }) => event === 'peers listening')?.peerAddress);
  }

  hasLogged(event: string): boolean {
    return this.logLines.some((line) => line.event === event);
  }

  get vm(): Vm {
    const { vmId, dataCentre, region } = this.settings;
    const url = 'http://127.0.0.1:9';
    const { peerAddress } = this;
    return { vmId, role: 'entry', url, peerAddress, dataCentre, region, state: 'live' };
  }

  /** Takes VMs as if the list had published them. */
  mergeVms(vms: ReadonlyArray<Vm>, revision = 1): void {
    this.get(PublishedState).merge(
      vms.map((vm) => ({ key: `vms/${vm.vmId}`, revision, body: JSON.stringify(vm) })),
    );
  }
}

/** Starts nodes that know each other's addresses. */
export async function startNodes(
  options: ReadonlyArray<TestNodeOptions>,
): Promise<ReadonlyArray<TestNode>> {
  const nodes = options.map((each) => new TestNode(each));
  await Promise.all(nodes.map(async (node) => node.start()));
  nodes.forEach((node) => node.mergeVms(nodes.map(({ vm }) => vm)));
  return nodes;
}

/** Waits for a condition; the limit of the test applies. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}
