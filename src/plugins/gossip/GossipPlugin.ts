/**
 * Exchange of node states, endpoint reports and published records between nodes.
 *
 * One task for each neighbour requests its changes once a second. A supervising task starts and stops
 * these tasks to match the VM list.
 */
import * as z from 'zod';
import type { VmId } from '../../core';
import { Plugin, registerPlugin, type Kernel } from '../../kernel';
import {
  Fleet,
  Gossip,
  PeerHandler,
  Peers,
  PublishedState,
  ReadinessCheck,
  SourceProgress,
  type Peer,
} from '../../services';
import { gossipRequestSchema, packGossipReply, type GossipRequest } from '../../wire';
import { FleetIndex } from './FleetIndex';
import { GossipExchange } from './GossipExchange';
import { NeighbourSet } from './NeighbourSet';
import { GOSSIP_TYPE, NeighbourTask } from './NeighbourTask';
import { GOSSIP_OPTIONS } from './options';
import { RecordDigests } from './RecordDigests';
import { PullHandler, RecordPull } from './RecordPull';
import { RecordPush } from './RecordPush';

const NEWS_TYPE = 'gossip.news';

class GossipHandler extends PeerHandler<typeof gossipRequestSchema> {
  readonly type = GOSSIP_TYPE;

  readonly schema = gossipRequestSchema;

  constructor(private readonly exchange: GossipExchange) {
    super();
  }

  async handle(from: Peer, request: GossipRequest): Promise<unknown> {
    return packGossipReply(this.exchange.createReply(from.vmId, request));
  }
}

const newsSchema = z.null();

/** Handles the notice of a neighbour with an urgent change by starting the next round at once. */
class NewsHandler extends PeerHandler<typeof newsSchema> {
  readonly type = NEWS_TYPE;

  readonly schema = newsSchema;

  constructor(private readonly tasks: ReadonlyMap<VmId, NeighbourTask>) {
    super();
  }

  async handle(from: Peer): Promise<void> {
    this.tasks.get(from.vmId)?.startRoundNow();
  }
}

class NeighbourNotifier extends Gossip {
  constructor(
    private readonly kernel: Kernel,
    private readonly updateOwnState: () => void,
    private readonly tasks: ReadonlyMap<VmId, NeighbourTask>,
  ) {
    super();
  }

  announce(): void {
    this.updateOwnState();
    const peers = this.kernel.get(Peers);
    this.tasks.forEach((_task, vmId) => peers.send(vmId, NEWS_TYPE, null));
  }
}

/** @internal */
export class GossipPlugin extends Plugin {
  static override readonly type = 'gossip';

  private readonly tasks = new Map<VmId, NeighbourTask>();

  private exchange!: GossipExchange;

  private pull!: RecordPull;

  private neighbours!: NeighbourSet;

  private notifier!: NeighbourNotifier;

  private loggedState: string | undefined;

  override setUp(): void {
    const { kernel } = this;
    const [fleet, published] = [kernel.get(Fleet), kernel.get(PublishedState)];
    const digests = new RecordDigests(published);
    this.neighbours = new NeighbourSet(fleet);
    this.exchange = new GossipExchange({
      fleet,
      published,
      progress: kernel.get(SourceProgress),
      index: new FleetIndex(fleet, published),
      digests,
      clock: kernel.clock,
    });
    const push = new RecordPush(
      published,
      () => kernel.get(Peers),
      () => [...this.tasks.keys()],
    );
    this.pull = new RecordPull(kernel, published, digests, push);
    this.notifier = new NeighbourNotifier(kernel, () => this.updateOwnState(), this.tasks);
    kernel.provide(Gossip, this.notifier);
    kernel.provide(PeerHandler, new GossipHandler(this.exchange));
    kernel.provide(PeerHandler, new NewsHandler(this.tasks));
    kernel.provide(PeerHandler, new PullHandler(published, digests));
    kernel.provide(PeerHandler, push);
  }

  override async start(): Promise<void> {
    this.kernel.runTask('gossip neighbours', async (signal) => this.superviseNeighbours(signal));
  }

  override async drain(): Promise<void> {
    this.notifier.announce();
  }

  private async superviseNeighbours(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.updateOwnState();
      this.exchange.evictInactive();
      this.reconcileTasks(this.neighbours.list());
      await this.kernel.clock.sleep(GOSSIP_OPTIONS.superviseIntervalMs, signal);
    }
  }

  private reconcileTasks(wanted: ReadonlyArray<VmId>): void {
    [...this.tasks]
      .filter(([vmId]) => !wanted.includes(vmId))
      .forEach(([vmId, task]) => {
        task.stop();
        this.tasks.delete(vmId);
      });
    wanted
      .filter((vmId) => !this.tasks.has(vmId))
      .forEach((vmId) => {
        const { kernel, exchange, pull, neighbours } = this;
        const countNeighbours = (): number => this.tasks.size;
        const parameters = { kernel, exchange, pull, neighbours, countNeighbours };
        const task = new NeighbourTask(vmId, parameters);
        this.tasks.set(vmId, task);
        kernel.runTask(`gossip with ${vmId}`, async (signal) => task.run(signal));
      });
  }

  private updateOwnState(): void {
    const { kernel } = this;
    if (kernel.state === 'stopped') return;
    const isReady = kernel
      .getAll(ReadinessCheck)
      .every((check) => check.getNotReadyReason() === undefined);
    const state = kernel.state === 'serving' && !isReady ? 'starting' : kernel.state;
    const { vmId } = kernel.settings;
    const { incarnation } = kernel;
    kernel.get(Fleet).mergeNodeStates([{ vmId, incarnation, state, ageMs: 0 }]);
    if (state !== this.loggedState) kernel.log.info('node state', { state });
    this.loggedState = state;
  }
}

registerPlugin(GossipPlugin);
