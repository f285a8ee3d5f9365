/**
 * A node for tests: its links run over 127.0.0.1 or in memory, the test supplies its published
 * records, and its log lines are captured.
 */
import { SystemClock, type Clock, type Settings, type Vm } from '../src/core';
import { Kernel, Log, Plugin, type LogFields, type PluginClass } from '../src/kernel';
import { createTestSettings } from '../src/kernel/createTestSettings';
import { FleetPlugin } from '../src/plugins/fleet';
import { PeersPlugin } from '../src/plugins/peers';
import { CompleteRevisions } from '../src/plugins/published/CompleteRevisions';
import { PublishedStore } from '../src/plugins/published/PublishedStore';
import { PublishedState, SourceProgress } from '../src/services';

/** Provides published records without reading them from the platform; the test merges them. */
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
  /** Plug-ins in addition to links and fleet; set up after them. */
  readonly plugins?: ReadonlyArray<PluginClass>;
  /** Plug-in that provides the published records; by default one without readers. */
  readonly published?: PluginClass;
  /** Plug-in that provides the other nodes of the fleet; by default from the published records. */
  readonly fleet?: PluginClass;
  /** Plug-in for the links to other nodes; by default sockets on 127.0.0.1. */
  readonly links?: PluginClass;
}

export class TestNode extends Kernel {
  private readonly lines: string[];

  constructor({ vmId, settings, clock, plugins = [], ...replaced }: TestNodeOptions) {
    const { published = StaticRecordsPlugin, fleet = FleetPlugin, links = PeersPlugin } = replaced;
    const lines: string[] = [];
    super({
      settings: createTestSettings({ vmId, ...settings }),
      clock: clock ?? new SystemClock(),
      log: new Log({ level: 'debug', fields: {}, write: (line) => lines.push(line) }),
      plugins: [published, fleet, links, ...plugins],
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

  /** Merges VMs as if the VM list had published them. */
  mergeVms(vms: ReadonlyArray<Vm>, revision = 1): void {
    this.get(PublishedState).merge(
      vms.map((vm) => ({ key: `vms/${vm.vmId}`, revision, body: JSON.stringify(vm) })),
    );
  }
}

/** Starts nodes and gives each the addresses of all. */
export async function startNodes(
  options: ReadonlyArray<TestNodeOptions>,
): Promise<ReadonlyArray<TestNode>> {
  const nodes = options.map((each) => new TestNode(each));
  await Promise.all(nodes.map(async (node) => node.start()));
  nodes.forEach((node) => node.mergeVms(nodes.map(({ vm }) => vm)));
  return nodes;
}

/** Waits for a condition, without a limit other than the timeout of the test. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}
