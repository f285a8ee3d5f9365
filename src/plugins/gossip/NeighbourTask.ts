/**
 * The task that exchanges state with one neighbour once a round.
 */
import type { VmId } from '../../core';
import type { Kernel } from '../../kernel';
import { Gossip, Peers } from '../../services';
import { packedGossipReplySchema, unpackGossipReply } from '../../wire';
import type { GossipExchange, ReplyOutcome } from './GossipExchange';
import type { NeighbourSet } from './NeighbourSet';
import { GOSSIP_OPTIONS } from './options';
import type { RecordPull } from './RecordPull';

/** @internal */
export const GOSSIP_TYPE = 'gossip';

/** @internal */
export interface NeighbourTaskParameters {
  readonly kernel: Kernel;
  readonly exchange: GossipExchange;
  readonly pull: RecordPull;
  readonly neighbours: NeighbourSet;
  readonly countNeighbours: () => number;
}

/** @internal */
export class NeighbourTask {
  private isStopped = false;

  /** Ends the wait between two rounds. */
  private pause = new AbortController();

  private isRoundRequested = false;

  constructor(
    private readonly vmId: VmId,
    private readonly parameters: NeighbourTaskParameters,
  ) {}

  stop(): void {
    this.isStopped = true;
    this.pause.abort();
  }

  /** Starts the next round now, because the neighbour has news. */
  startRoundNow(): void {
    this.isRoundRequested = true;
    this.pause.abort();
  }

  async run(signal: AbortSignal): Promise<void> {
    const stop = (): void => this.stop();
    signal.addEventListener('abort', stop, { once: true });
    try {
      // Rounds with different neighbours start at different moments of the interval.
      await this.sleep(Math.random() * GOSSIP_OPTIONS.firstRoundJitterMs);
      while (!this.isStopped) {
        this.isRoundRequested = false;
        await this.runRound();
        await this.sleep(this.chooseInterval());
      }
    } finally {
      signal.removeEventListener('abort', stop);
    }
  }

  private async runRound(): Promise<void> {
    const { kernel, exchange, neighbours } = this.parameters;
    const askedAtMs = kernel.clock.nowMs();
    try {
      const packed = await kernel
        .get(Peers)
        .call(
          this.vmId,
          GOSSIP_TYPE,
          exchange.createRequest(this.vmId),
          askedAtMs + GOSSIP_OPTIONS.callTimeoutMs,
        );
      const reply = unpackGossipReply(packedGossipReplySchema.parse(packed));
      const taken = exchange.applyReply(this.vmId, reply, askedAtMs);
      neighbours.recordResult(this.vmId, true);
      if (taken.hasUrgentChange) kernel.getAll(Gossip).forEach((gossip) => gossip.announce());
      await this.pullDifferingRecords(taken);
    } catch (thrown) {
      neighbours.recordResult(this.vmId, false);
      kernel.log.debug('gossip round failed', { peer: this.vmId, cause: thrown });
    }
  }

  private async pullDifferingRecords({ differingSources }: ReplyOutcome): Promise<void> {
    const { exchange, pull } = this.parameters;
    for (const claim of differingSources) {
      if (await pull.run(this.vmId, claim.source)) exchange.adoptStatus(claim);
    }
  }

  private chooseInterval(): number {
    const share = 1 + GOSSIP_OPTIONS.jitterShare * (2 * Math.random() - 1);
    const crowding = this.parameters.countNeighbours() / GOSSIP_OPTIONS.exchangesPerInterval;
    return GOSSIP_OPTIONS.intervalMs * share * Math.max(1, crowding);
  }

  private async sleep(delayMs: number): Promise<void> {
    if (this.isRoundRequested || this.isStopped) return;
    this.pause = new AbortController();
    await this.parameters.kernel.clock.sleep(delayMs, this.pause.signal);
  }
}
