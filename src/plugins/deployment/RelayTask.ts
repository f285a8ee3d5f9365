/**
 * The task that reads the configuration and endpoints from other nodes: always on a node that others
 * read for, and on any node while it can't reach the source.
 *
 * The answering node reports the age of its own confirmation at the time of its answer, which is
 * later than the request. Its data is therefore complete up to the time of the request minus that
 * age.
 */
import { isEarlier, type SourcePosition, type VmId } from '../../core';
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
import {
  relayReplySchema,
  type RelayedEndpoint,
  type RelayReply,
  type RelayRequest,
} from './relayMessages';

/** Whether an entry expired while the source was unavailable, and may still be renewed. */
function isExpired({ value, position }: RelayedEndpoint): boolean {
  return value !== undefined && isEarlier(value.position, position);
}

/** @internal */
export class RelayTask {
  private intervalMs: number = DEPLOYMENT_OPTIONS.relayIntervalMs;

  private isRelaying = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly store: DeploymentStore,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const readers = this.kernel.get(Members).listReaders();
      if (readers.length > 0) await this.followReaders(readers, signal);
      else await this.replaceSource(signal);
    }
  }

  /**
   * Asks the best reader, which answers at the next change or after a short wait. If what it knows
   * is old, or it doesn't answer, the others are asked in turn.
   */
  private async followReaders(readers: ReadonlyArray<VmId>, signal: AbortSignal): Promise<void> {
    const { readerWaitMs, readerPauseMs, relayIntervalMs } = DEPLOYMENT_OPTIONS;
    const { readerMaxAgeMs } = computeFreshnessThresholds(this.store.bounds.revocationWithinMs);
    const isFresh = (): boolean => this.store.getConfirmedAgeMs() <= readerMaxAgeMs;
    const [best, ...others] = readers;
    // A reader that has started together with this node may have nothing to wait for.
    const waitMs = this.store.configuration ? readerWaitMs : 0;
    if (best) await this.requestFrom(best, waitMs);
    for (const reader of others) {
      if (signal.aborted || isFresh()) break;
      await this.requestFrom(reader, 0);
    }
    const isStarting = !this.store.configuration;
    await this.kernel.clock.sleep(
      isFresh() || isStarting ? readerPauseMs : relayIntervalMs,
      signal,
    );
  }

  /** Asks any node if this one can't reach the source. */
  private async replaceSource(signal: AbortSignal): Promise<void> {
    // A node without a configuration asks others before it reads the source.
    const isStarting = !this.store.configuration;
    const pauseMs = isStarting ? DEPLOYMENT_OPTIONS.readerPauseMs : this.intervalMs;
    await this.kernel.clock.sleep(pauseMs, signal);
    if (signal.aborted) return;
    const member = this.isNeeded() ? this.chooseMember() : undefined;
    if (member) this.adjustInterval(member, await this.requestFrom(member.vmId, 0));
    else this.resetInterval();
  }

  /** Makes the next outage start with short intervals again. */
  private resetInterval(): void {
    this.isRelaying = false;
    this.intervalMs = DEPLOYMENT_OPTIONS.relayIntervalMs;
  }

  private isNeeded(): boolean {
    const { relayAfterMs } = computeFreshnessThresholds(this.store.bounds.revocationWithinMs);
    return this.store.isSourceUnavailable || this.store.getConfirmedAgeMs() > relayAfterMs;
  }

  private chooseMember(): KnownMember | undefined {
    const live = this.kernel.get(Members).listLive();
    // Nodes that take callers have a configuration.
    const withConfiguration = live.filter(({ takesCallers }) => takesCallers);
    const candidates = withConfiguration.length > 0 ? withConfiguration : live;
    return candidates[Math.floor(Math.random() * candidates.length)];
  }

  /** Backs off while no node can confirm its data, as when no node can reach the source. */
  private adjustInterval({ vmId }: KnownMember, isConfirmed: boolean): void {
    const { relayIntervalMs, maxRelayIntervalMs } = DEPLOYMENT_OPTIONS;
    this.intervalMs = isConfirmed
      ? relayIntervalMs
      : Math.min(maxRelayIntervalMs, this.intervalMs * 2);
    if (!isConfirmed || this.isRelaying) return;
    this.isRelaying = true;
    const confirmedAgeMs = Math.round(this.store.getConfirmedAgeMs());
    this.kernel.log.info('deployment confirmed by another node', { member: vmId, confirmedAgeMs });
  }

  private async requestFrom(vmId: VmId, waitMs: number): Promise<boolean> {
    const { log } = this.kernel;
    const sentAt = this.store.readClocks();
    const request: RelayRequest = {
      configurationVersion: this.store.configuration?.version ?? 0,
      newestEra: this.store.newestEra,
      endpointsDigest: digestEndpoints(this.store),
      waitMs,
    };
    try {
      const deadlineMs = sentAt.nowMs + waitMs + DEPLOYMENT_OPTIONS.relayTimeoutMs;
      const answer = await this.kernel
        .get(Peers)
        .call(vmId, RELAY_MESSAGE_TYPE, request, deadlineMs);
      return this.applyReply(relayReplySchema.parse(answer), sentAt);
    } catch (thrown) {
      log.debug('reading from another node failed', { member: vmId, cause: thrown });
      return false;
    }
  }

  /**
   * Applies whatever is newer than the local state, after which this node knows at least as much as
   * the answering node. Returns whether the answering node confirmed its data.
   */
  private applyReply(reply: RelayReply, sentAt: ClockReading): boolean {
    const { store } = this;
    const { configuration, confirmedAgeMs, endpoints = [], completeTo } = reply;
    store.hearOfEra(reply.newestEra);
    store.noteEraStart(reply.eraStart);
    if (confirmedAgeMs === undefined) return false;
    // The confirmation covers the other node's configuration, so it is void if that can't be decoded.
    if (configuration && this.applyValue(configuration)?.kind !== 'configuration') return false;
    if (completeTo.era < store.newestEra) return false;
    const isNewEra = store.enterEra(completeTo.era);
    if (isNewEra || reply.endpoints) this.applyEndpoints(endpoints, completeTo, isNewEra);
    store.markCompleteTo(completeTo);
    store.confirmRelayed(sentAt.nowMs - confirmedAgeMs, sentAt);
    return true;
  }

  /** @param isNewEra whether missing endpoints may not have registered yet since the era began. */
  private applyEndpoints(
    endpoints: ReadonlyArray<RelayedEndpoint>,
    completeTo: SourcePosition,
    isNewEra: boolean,
  ): void {
    const { store } = this;
    const atMs = this.kernel.clock.nowMs();
    endpoints.forEach((endpoint) => {
      const { endpointId, position, startedAtWallMs, value } = endpoint;
      if (value) this.applyValue(value);
      else store.applyDeparture({ endpointId, startedAtWallMs, position, atMs });
      if (isExpired(endpoint)) store.expireEntry(endpointId, position);
    });
    const missing = store.listMissingFrom(endpoints.map(({ endpointId }) => endpointId));
    missing.forEach(({ endpointId, startedAtWallMs }) => {
      if (isNewEra) store.removeEndpoint(endpointId, completeTo);
      else store.applyDeparture({ endpointId, startedAtWallMs, position: completeTo, atMs });
    });
  }

  private applyValue(value: PublishedValue): PublishedChange | undefined {
    const change = this.kernel.get(DeploymentSource).decode(value);
    if (change) this.store.applyChange(change, false);
    return change;
  }
}
