/**
 * The task that asks other nodes while this one can't reach the source itself.
 *
 * A node that answers tells the age of its own confirmation as of its answer, which is later than
 * the question. What it knows is therefore complete up to the time of the question less that age.
 */
import { computeFreshnessThresholds, type ClockReading } from '../../decisions';
import type { Kernel } from '../../kernel';
import {
  DeploymentSource,
  Members,
  Peers,
  type KnownMember,
  type PublishedChange,
  type PublishedValue,
} from '../../services';
import type { DeploymentStore } from './DeploymentStore';
import { DEPLOYMENT_OPTIONS } from './options';
import { digestEndpoints, RELAY_MESSAGE_TYPE } from './RelayHandler';
import { relayReplySchema, type RelayReply, type RelayRequest } from './relayMessages';

/** @internal */
export class RelayTask {
  private intervalMs: number = DEPLOYMENT_OPTIONS.relayIntervalMs;

  private isRelaying = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly book: DeploymentStore,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.kernel.clock.sleep(this.intervalMs, signal);
      if (signal.aborted) return;
      const member = this.isNeeded() ? this.chooseMember() : undefined;
      if (member) this.adjustInterval(member, await this.requestFrom(member));
      else this.resetInterval();
    }
  }

  /** Nobody is asked; the next outage begins with short intervals again. */
  private resetInterval(): void {
    this.isRelaying = false;
    this.intervalMs = DEPLOYMENT_OPTIONS.relayIntervalMs;
  }

  private isNeeded(): boolean {
    const { relayAfterMs } = computeFreshnessThresholds(this.book.bounds.revocationWithinMs);
    return this.book.isSourceUnavailable || this.book.getConfirmedAgeMs() > relayAfterMs;
  }

  private chooseMember(): KnownMember | undefined {
    const live = this.kernel.get(Members).listLive();
    // Those that take callers know their configuration.
    const knowing = live.filter(({ takesCallers }) => takesCallers);
    const candidates = knowing.length > 0 ? knowing : live;
    return candidates[Math.floor(Math.random() * candidates.length)];
  }

  /** Asks less often while nobody vouches for anything, as when the source is away for all nodes. */
  private adjustInterval({ vmId }: KnownMember, isVouchedFor: boolean): void {
    const { relayIntervalMs, maxRelayIntervalMs } = DEPLOYMENT_OPTIONS;
    this.intervalMs = isVouchedFor
      ? relayIntervalMs
      : Math.min(maxRelayIntervalMs, this.intervalMs * 2);
    if (!isVouchedFor || this.isRelaying) return;
    this.isRelaying = true;
    const confirmedAgeMs = Math.round(this.book.getConfirmedAgeMs());
    this.kernel.log.info('knowledge from other nodes', { member: vmId, confirmedAgeMs });
  }

  private async requestFrom({ vmId }: KnownMember): Promise<boolean> {
    const { log } = this.kernel;
    const asked = this.book.readClocks();
    const question: RelayRequest = {
      configurationVersion: this.book.configuration?.version ?? 0,
      endpointsDigest: digestEndpoints(this.book),
    };
    try {
      const deadlineMs = asked.nowMs + DEPLOYMENT_OPTIONS.relayTimeoutMs;
      const answer = await this.kernel
        .get(Peers)
        .call(vmId, RELAY_MESSAGE_TYPE, question, deadlineMs);
      return this.applyReply(relayReplySchema.parse(answer), asked);
    } catch (thrown) {
      log.debug('relay failed', { member: vmId, cause: thrown });
      return false;
    }
  }

  /**
   * Takes whatever is newer than what this node knows; afterwards it knows at least as much as the
   * node that answered. Tells whether that one vouched for what it knows.
   */
  private applyReply(reply: RelayReply, asked: ClockReading): boolean {
    const { book } = this;
    const { configuration, confirmedAgeMs, endpoints, completeToRevision } = reply;
    if (confirmedAgeMs === undefined) return false;
    // Without the configuration that the other node goes by, nothing is confirmed.
    if (configuration && this.applyValue(configuration)?.kind !== 'configuration') return false;
    if (endpoints) this.applyEndpoints(endpoints, completeToRevision);
    book.confirmRelayed(asked.nowMs - confirmedAgeMs, asked);
    return true;
  }

  private applyEndpoints(
    endpoints: NonNullable<RelayReply['endpoints']>,
    completeToRevision: number,
  ): void {
    endpoints.forEach(({ endpointId, revision, value }) => {
      if (value) this.applyValue(value);
      else this.book.applyDeparture(endpointId, revision);
    });
    this.book
      .listMissingFrom(endpoints.map(({ endpointId }) => endpointId))
      .forEach((endpointId) => this.book.applyDeparture(endpointId, completeToRevision));
  }

  private applyValue(value: PublishedValue): PublishedChange | undefined {
    const change = this.kernel.get(DeploymentSource).decode(value);
    if (change) this.book.applyChange(change, false);
    return change;
  }
}
