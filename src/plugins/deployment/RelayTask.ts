/**
 * The task that reads the configuration and endpoints from other nodes: always on a node that others
 * read for, and on any node while it can't reach the source.
 *
 * The answering node reports the age of its own confirmation at the time of its answer, which is
 * later than the request. Its data is therefore complete up to the time of the request minus that
 * age.
 */
import { describeFault, isEarlier, type SourcePosition, type VmId } from '../../core';
import { computeFreshnessThresholds, type ClockReading } from '../../decisions';
import type { Kernel } from '../../kernel';
import { DeploymentSource, Members, Peers, type KnownMember } from '../../services';
import type { DeploymentStore } from './DeploymentStore';
import { DEPLOYMENT_OPTIONS } from './options';
import { digestEndpoints, RELAY_MESSAGE_TYPE } from './RelayHandler';
import {
  relayedEndpointIdSchema,
  relayedEndpointSchema,
  relayedEvacuationSchema,
  relayedValueSchema,
  receivedReplySchema,
  type ReceivedReply,
  type RelayedEndpoint,
  type RelayRequest,
} from './relayMessages';

/** Keys under which unreadable parts of a reply are logged. */
const RELAYED_CONFIGURATION = '(relayed configuration)';
const RELAYED_ENDPOINT = '(relayed endpoint)';
const RELAYED_EVACUATION = '(relayed evacuation)';

const REPORTED_BY_NODE = 'reported by another node';

const NOT_OF_ITS_KEY = 'is not the value of its key';

/** Whether an entry expired while the source was unavailable, and may still be renewed. */
function isExpired({ value, position }: RelayedEndpoint): boolean {
  return value !== undefined && isEarlier(value.position, position);
}

/** @internal */
export class RelayTask {
  private intervalMs: number = DEPLOYMENT_OPTIONS.relayIntervalMs;

  private isRelaying = false;

  /** Whether all parts of the last reply could be read. */
  private isReplyReadable = true;

  /** Era of the source in which another node last confirmed its copy to this one. */
  private copiedEra = -1;

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
    const isFresh = (): boolean => this.store.getSourceAgeMs() <= readerMaxAgeMs;
    const [best, ...others] = readers;
    // A reader that has started together with this node may have nothing to wait for.
    const waitMs = this.store.configuration ? readerWaitMs : 0;
    if (best) await this.requestFrom(best, waitMs);
    for (const reader of others) {
      if (signal.aborted || isFresh()) break;
      await this.requestFrom(reader, 0);
    }
    const isStarting = !this.store.configuration;
    // A reader has news at once for a node that can't read what it sends.
    const isPauseShort = this.isReplyReadable && (isFresh() || isStarting);
    await this.kernel.clock.sleep(isPauseShort ? readerPauseMs : relayIntervalMs, signal);
  }

  /** Asks any node if that is needed. */
  private async replaceSource(signal: AbortSignal): Promise<void> {
    // A node without a configuration asks others before it reads the source.
    const isStarting = !this.store.configuration;
    const pauseMs = isStarting ? DEPLOYMENT_OPTIONS.readerPauseMs : this.intervalMs;
    await this.kernel.clock.sleep(pauseMs, signal);
    if (signal.aborted) return;
    const member = this.isNeeded() ? this.chooseMember() : undefined;
    if (!member) {
      this.resetInterval();
      return;
    }
    const isConfirmed = await this.requestFrom(member.vmId, 0);
    if (isConfirmed) this.copiedEra = this.store.completeTo.era;
    this.adjustInterval(member, isConfirmed);
  }

  /** Makes the next outage start with short intervals again. */
  private resetInterval(): void {
    this.isRelaying = false;
    this.intervalMs = DEPLOYMENT_OPTIONS.relayIntervalMs;
  }

  /**
   * Whether this node can't reach the source, or has to learn from another node what the source may
   * have lost: once after the start and once in each era.
   */
  private isNeeded(): boolean {
    const { relayAfterMs } = computeFreshnessThresholds(this.store.bounds.revocationWithinMs);
    if (this.copiedEra < this.store.completeTo.era) return true;
    return this.store.isSourceUnavailable || this.store.getSourceAgeMs() > relayAfterMs;
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
    const confirmedAgeMs = Math.round(this.store.getSourceAgeMs());
    this.kernel.log.info('deployment confirmed by another node', { member: vmId, confirmedAgeMs });
  }

  private async requestFrom(vmId: VmId, waitMs: number): Promise<boolean> {
    const { log } = this.kernel;
    const sentAt = this.store.readClocks();
    const request: RelayRequest = {
      configurationVersion: this.store.configuration?.version ?? 0,
      newestEra: this.store.newestEra,
      endpointsDigest: digestEndpoints(this.store),
      evacuationsDigest: this.store.evacuations.digest,
      waitMs,
    };
    try {
      const deadlineMs = sentAt.nowMs + waitMs + DEPLOYMENT_OPTIONS.relayTimeoutMs;
      const answer = await this.kernel
        .get(Peers)
        .call(vmId, RELAY_MESSAGE_TYPE, request, deadlineMs);
      return this.applyReply(receivedReplySchema.parse(answer), sentAt);
    } catch (thrown) {
      log.debug('reading from another node failed', { member: vmId, cause: thrown });
      return false;
    }
  }

  /**
   * Applies whatever is newer than the local state, after which this node knows at least as much as
   * the answering node. Returns whether the answering node confirmed its data.
   */
  private applyReply(reply: ReceivedReply, sentAt: ClockReading): boolean {
    const { store } = this;
    const { configuration, confirmedAgeMs, configurationAgeMs, endpoints, completeTo } = reply;
    store.hearOfEra(reply.newestEra);
    store.noteEraStart(reply.eraStart);
    this.isReplyReadable = true;
    if (confirmedAgeMs === undefined) return false;
    const hasConfiguration = configuration === undefined || this.applyConfiguration(configuration);
    this.isReplyReadable = hasConfiguration;
    if (completeTo.era < store.newestEra) return false;
    const isNewEra = store.enterEra(completeTo.era);
    const hasEndpoints = isNewEra || endpoints !== undefined;
    const isComplete = !hasEndpoints || this.applyEndpoints(endpoints ?? [], completeTo, isNewEra);
    if (!isComplete) store.noteListGap();
    const hasEvacuations = this.applyEvacuations(reply);
    this.isReplyReadable = hasConfiguration && isComplete && hasEvacuations;
    // The confirmation covers the other node's configuration, so it is void if that can't be decoded.
    if (!hasConfiguration) return false;
    if (isComplete && hasEvacuations) this.markCompleteTo(reply);
    const configurationAsOfMs =
      configurationAgeMs === undefined ? undefined : sentAt.nowMs - configurationAgeMs;
    store.confirmRelayed(sentAt.nowMs - confirmedAgeMs, sentAt, configurationAsOfMs);
    return true;
  }

  /** Returns whether the value is a configuration. */
  private applyConfiguration(raw: unknown): boolean {
    const { data: value, error } = relayedValueSchema.safeParse(raw);
    const change = value && this.kernel.get(DeploymentSource).decode(value);
    const isRead = change?.kind === 'configuration';
    if (isRead || change?.kind === 'unreadable') this.store.applyChange(change, false);
    else this.reportUnreadable(RELAYED_CONFIGURATION, error ?? NOT_OF_ITS_KEY);
    return isRead;
  }

  /**
   * Returns whether all items could be read; the others are applied in any case.
   * @param isNewEra whether missing endpoints may not have registered yet since the era began.
   */
  private applyEndpoints(
    items: ReadonlyArray<unknown>,
    completeTo: SourcePosition,
    isNewEra: boolean,
  ): boolean {
    const { store } = this;
    const atMs = this.kernel.clock.nowMs();
    const results = items.map((item) => this.applyEndpoint(item));
    const listed = items.flatMap(
      (item) => relayedEndpointIdSchema.safeParse(item).data?.endpointId ?? [],
    );
    store.takeMissingFrom(listed).forEach(({ endpointId, startedAtWallMs }) => {
      if (isNewEra) store.removeEndpoint(endpointId, completeTo);
      else store.applyDeparture({ endpointId, startedAtWallMs, position: completeTo, atMs });
    });
    return results.every(Boolean);
  }

  /** Returns whether all items could be read; the others are applied in any case. */
  private applyEvacuations({ evacuations, completeTo }: ReceivedReply): boolean {
    if (!evacuations) return true;
    const { store } = this;
    const results = evacuations.map((item) => relayedEvacuationSchema.safeParse(item));
    const states = results.flatMap(({ data }) => data ?? []);
    states.forEach((state) => store.evacuations.apply(state, store.completeTo, REPORTED_BY_NODE));
    results.forEach(({ error }) => {
      if (error) this.reportUnreadable(RELAYED_EVACUATION, error);
    });
    const isReadable = states.length === evacuations.length;
    const listed = new Set(states.map(({ dataCentre }) => dataCentre));
    if (isReadable) store.evacuations.reconcile(listed, completeTo, REPORTED_BY_NODE);
    return isReadable;
  }

  /** The position of a node that relays no evacuations says nothing of them. */
  private markCompleteTo({ completeTo, evacuations }: ReceivedReply): void {
    const isAdvance = isEarlier(this.store.completeTo, completeTo);
    this.store.markCompleteTo(completeTo);
    const isCovering = !isEarlier(completeTo, this.store.completeTo);
    if (evacuations && isCovering) this.store.evacuations.setComplete(true);
    if (!evacuations && isAdvance) this.store.evacuations.setComplete(false);
  }

  private applyEndpoint(item: unknown): boolean {
    const { data: relayed, error } = relayedEndpointSchema.safeParse(item);
    if (!relayed) {
      const id = relayedEndpointIdSchema.safeParse(item).data?.endpointId ?? '';
      this.reportUnreadable(`${RELAYED_ENDPOINT} ${id}`, error);
      return false;
    }
    const { endpointId, startedAtWallMs, position, value } = relayed;
    if (!value) {
      if (!this.store.find(endpointId) && !this.store.departures.has(endpointId)) {
        this.store.noteListGap();
      }
      const atMs = this.kernel.clock.nowMs();
      this.store.applyDeparture({ endpointId, startedAtWallMs, position, atMs });
      return true;
    }
    const change = this.kernel.get(DeploymentSource).decode(value);
    const named = change?.kind === 'endpoint' ? change.backEnd.endpointId : endpointId;
    if (!change || named !== endpointId) {
      this.reportUnreadable(`${RELAYED_ENDPOINT} ${endpointId}`, NOT_OF_ITS_KEY);
      return false;
    }
    this.store.applyChange(change, false);
    if (isExpired(relayed)) this.store.expireEntry(endpointId, position);
    return true;
  }

  /** Such a part has no position that could be trusted, so it changes nothing. */
  private reportUnreadable(key: string, fault: unknown): void {
    const reason = describeFault(fault);
    const change = { key, reason, position: undefined, endpointId: undefined };
    this.store.applyChange({ kind: 'unreadable', isConfiguration: false, ...change }, false);
  }
}
