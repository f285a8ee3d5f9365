/**
 * The task that exchanges state with one neighbour in regular rounds.
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

  /** Starts the next round at once, because the neighbour has an urgent change. */
  startRoundNow(): void {
    this.isRoundRequested = true;
    this.pause.abort();
  }

  async run(signal: AbortSignal): Promise<void> {
    const stop = (): void => this.stop();
    signal.addEventListener('abort', stop, { once: true });
    try {
      // Spreads the rounds with different neighbours over the interval.
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
    const requestedAtMs = kernel.clock.nowMs();
    try {
      const packed = await kernel
        .get(Peers)
        .call(
          this.vmId,
          GOSSIP_TYPE,
          exchange.createRequest(this.vmId),
          requestedAtMs + GOSSIP_OPTIONS.callTimeoutMs,
        );
      const reply = unpackGossipReply(packedGossipReplySchema.parse(packed));
      const outcome = exchange.applyReply(this.vmId, reply, requestedAtMs);
      neighbours.recordResult(this.vmId, true);
      if (outcome.hasUrgentChange) kernel.getAll(Gossip).forEach((gossip) => gossip.announce());
      await this.pullDifferingRecords(outcome);
    } catch (thrown) {
      neighbours.recordResult(this.vmId, false);
      kernel.log.debug('gossip round failed', { peer: this.vmId, cause: thrown });
    }
  }

  private async pullDifferingRecords({ differingSources }: ReplyOutcome): Promise<void> {
    const { exchange, pull } = this.parameters;
    for (const status of differingSources) {
      if (await pull.run(this.vmId, status.source)) exchange.adoptStatus(status);
    }
  }

  private chooseInterval(): number {
    const factor = 1 + GOSSIP_OPTIONS.jitterShare * (2 * Math.random() - 1);
    const slowdown = this.parameters.countNeighbours() / GOSSIP_OPTIONS.exchangesPerInterval;
    return GOSSIP_OPTIONS.intervalMs * factor * Math.max(1, slowdown);
  }

  private async sleep(delayMs: number): Promise<void> {
    if (this.isRoundRequested || this.isStopped) return;
    this.pause = new AbortController();
    await this.parameters.kernel.clock.sleep(delayMs, this.pause.signal);
  }
}
