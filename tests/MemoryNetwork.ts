/**
 * Connects the nodes of a test in memory, with message loss, duplicates, delays and pauses.
 *
 * Time advances in steps. A paused node neither runs nor receives; when it resumes, its clock jumps
 * and all waiting messages arrive at once, as in a process that was suspended.
 */
import { ManualClock, ServingError, type VmId } from '../src/core';
import { Plugin, type PluginClass } from '../src/kernel';
import { PeerHandler, Peers, type Peer } from '../src/services';
import { decodePeerFrame, encodePeerFrame } from '../src/wire';
import { TestNode, type TestNodeOptions } from './TestNode';

const STEP_MS = 50;

/** Longer than any deadline of a node. */
const STOP_MS = 60_000;

export interface NetworkFaults {
  readonly lossShare: number;
  readonly duplicateShare: number;
  readonly maxDelayMs: number;
}

interface Delivery {
  readonly to: string;
  readonly dueMs: number;
  readonly run: () => void;
}

/** Operations of the network that the links of a node use. */
interface NetworkPort {
  readonly nodes: ReadonlyMap<string, TestNode>;
  deliver: (from: string, to: string, run: () => void) => void;
  isDropped: (type: string) => boolean;
  countMessage: (type: string) => void;
  /** Encodes and decodes a body, as a transfer over the wire does. */
  transfer: (body: unknown) => unknown;
}

class MemoryPeers extends Peers {
  constructor(
    private readonly network: NetworkPort,
    private readonly node: TestNode,
  ) {
    super();
  }

  async call(vmId: VmId, type: string, body: unknown, deadlineMs: number): Promise<unknown> {
    const { clock, settings } = this.node;
    if (this.network.isDropped(type)) throw new ServingError('peer-unreachable', { detail: type });
    const reply = new Promise<unknown>((resolve) => {
      this.network.deliver(settings.vmId, vmId, () => {
        // A node that was killed doesn't reply.
        if (!this.network.nodes.has(vmId)) return;
        void this.handle(vmId, type, body).then((response) =>
          this.network.deliver(vmId, settings.vmId, () => resolve(this.network.transfer(response))),
        );
      });
    });
    const timeout = clock.sleep(deadlineMs - clock.nowMs()).then(() => {
      throw new ServingError('peer-unreachable', { detail: 'no reply' });
    });
    return Promise.race([reply, timeout]);
  }

  send(vmId: VmId, type: string, body: unknown): void {
    if (this.network.isDropped(type)) return;
    this.network.deliver(this.node.settings.vmId, vmId, () => void this.handle(vmId, type, body));
  }

  async connect(address: string): Promise<Peer> {
    const peer = this.listLinked().find(
      ({ vmId }) => this.network.nodes.get(vmId)?.settings.peerAddress === address,
    );
    if (!peer) throw new ServingError('peer-unreachable', { detail: address });
    return peer;
  }

  listLinked(): ReadonlyArray<Peer> {
    return [...this.network.nodes.values()]
      .filter((node) => node !== this.node)
      .map(({ settings: { vmId }, incarnation }) => ({ vmId, incarnation }));
  }

  private async handle(vmId: string, type: string, body: unknown): Promise<unknown> {
    const { settings, incarnation } = this.node;
    const handlers = this.network.nodes.get(vmId)?.getAll(PeerHandler) ?? [];
    this.network.countMessage(type);
    const handler = handlers.find((each) => each.type === type);
    const parsed: unknown = handler?.schema.parse(this.network.transfer(body));
    return handler?.handle({ vmId: settings.vmId, incarnation }, parsed);
  }
}

function createLinks(network: NetworkPort): PluginClass {
  return class MemoryLinksPlugin extends Plugin {
    static override readonly type = 'memory-links';

    override setUp(): void {
      this.kernel.provide(Peers, new MemoryPeers(network, this.kernel as TestNode));
    }
  };
}

export class MemoryNetwork {
  readonly nodes = new Map<string, TestNode>();

  private readonly clocks = new Map<string, ManualClock>();

  private readonly resumeAtMs = new Map<string, number>();

  private readonly clockLagMs = new Map<string, number>();

  private deliveries: Delivery[] = [];

  private faults: NetworkFaults = { lossShare: 0, duplicateShare: 0, maxDelayMs: 5 };

  /** Whether two nodes cannot reach each other. */
  private isPartitioned: (a: string, b: string) => boolean = () => false;

  /** Types of messages that are dropped. */
  private droppedTypes: ReadonlyArray<string> = [];

  /** Requests handled so far by type. */
  readonly messageCounts = new Map<string, number>();

  /** Encoded bytes of these requests and their replies. */
  transferredBytes = 0;

  timeMs = 0;

  /** @param random returns numbers from 0 up to, but excluding, 1. */
  constructor(private readonly random: () => number) {}

  setFaults(faults: NetworkFaults): void {
    this.faults = faults;
  }

  setPartition(isPartitioned: (a: string, b: string) => boolean): void {
    this.isPartitioned = isPartitioned;
  }

  setDroppedTypes(types: ReadonlyArray<string>): void {
    this.droppedTypes = types;
  }

  isDropped(type: string): boolean {
    return this.droppedTypes.includes(type);
  }

  countMessage(type: string): void {
    this.messageCounts.set(type, (this.messageCounts.get(type) ?? 0) + 1);
  }

  transfer(body: unknown): unknown {
    const data = encodePeerFrame({ form: 'request', request: { type: 't', body } });
    this.transferredBytes += data.length;
    const frame = decodePeerFrame(data);
    return frame.form === 'request' ? frame.request.body : undefined;
  }

  /** Ends a node without a farewell, as a kill does. */
  async kill(vmId: string): Promise<void> {
    const stopped = this.nodes.get(vmId)?.dispose();
    this.nodes.delete(vmId);
    this.clocks.get(vmId)?.advance(STOP_MS);
    this.clocks.delete(vmId);
    await stopped;
  }

  pause(vmId: string, forMs: number): void {
    this.resumeAtMs.set(vmId, this.timeMs + forMs);
  }

  async start(options: TestNodeOptions): Promise<TestNode> {
    const clock = new ManualClock();
    const node = new TestNode({ ...options, clock, links: createLinks(this) });
    this.clocks.set(options.vmId, clock);
    this.nodes.set(options.vmId, node);
    await node.start();
    return node;
  }

  async run(forMs: number, onStep: () => void = () => {}): Promise<void> {
    const endMs = this.timeMs + forMs;
    while (this.timeMs < endMs) {
      this.timeMs += STEP_MS;
      this.clocks.forEach((clock, vmId) => this.advance(clock, vmId));
      const due = this.deliveries.filter((each) => this.isDue(each));
      this.deliveries = this.deliveries.filter((each) => !due.includes(each));
      due.forEach(({ run }) => run());
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      onStep();
    }
  }

  /**
   * Stops the nodes and advances time meanwhile, so that calls in progress reach their deadlines.
   */
  async stop(): Promise<void> {
    const stopped = Promise.all([...this.nodes.values()].map(async (node) => node.dispose()));
    this.clocks.forEach((clock) => clock.advance(STOP_MS));
    await stopped;
  }

  isPaused(vmId: string): boolean {
    return (this.resumeAtMs.get(vmId) ?? 0) > this.timeMs;
  }

  deliver(from: string, to: string, run: () => void): void {
    if (this.isPartitioned(from, to) || this.random() < this.faults.lossShare) return;
    const copies = this.random() < this.faults.duplicateShare ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      const dueMs = this.timeMs + this.random() * this.faults.maxDelayMs;
      this.deliveries.push({ to, dueMs, run });
    }
  }

  private advance(clock: ManualClock, vmId: string): void {
    const lagMs = (this.clockLagMs.get(vmId) ?? 0) + STEP_MS;
    this.clockLagMs.set(vmId, this.isPaused(vmId) ? lagMs : 0);
    if (!this.isPaused(vmId)) clock.advance(lagMs);
  }

  private isDue({ to, dueMs }: Delivery): boolean {
    return dueMs <= this.timeMs && !this.isPaused(to);
  }
}
