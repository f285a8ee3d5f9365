/**
 * The node's in-memory copy of the configuration and of the endpoint list.
 *
 * A configuration is replaced only by a newer version. An endpoint that was removed from the list,
 * or that announced that it is leaving, gets no new work but stays in the store for a while, because
 * requests may still be running on it.
 */
import type {
  BackEnd,
  Deadline,
  EndpointId,
  ServingBounds,
  ServingConfiguration,
} from '../../core';
import { computeConfirmedAgeMs, type ClockReading, type Confirmation } from '../../decisions';
import type { Kernel } from '../../kernel';
import {
  Deployment,
  type KnownBackEnd,
  type PublishedChange,
  type PublishedValue,
} from '../../services';
import { DEPLOYMENT_OPTIONS } from './options';
import { ReportedValues } from './ReportedValues';

type LeavingListener = (backEnd: KnownBackEnd) => void;
type ConfigurationListener = (configuration: ServingConfiguration) => void;

/** @internal */
export class DeploymentStore extends Deployment {
  private readonly endpoints = new Map<EndpointId, KnownBackEnd>();

  /** Entries that expired while the source was unavailable, and when each counts as removed. */
  private readonly expiredEntries = new Map<EndpointId, number>();

  private current: ServingConfiguration | undefined;

  private publishedConfiguration: PublishedValue | undefined;

  /** The endpoints as they were published, for relaying to other nodes. */
  private readonly publishedEndpoints = new Map<EndpointId, PublishedValue>();

  /** Revision of the newest known change of each endpoint, including its removal. */
  private readonly revisions = new Map<EndpointId, number>();

  private readonly reportedValues = new ReportedValues();

  private latestCompleteRevision = 0;

  private confirmation: Confirmation | undefined;

  private readonly suspensionWatches = new Set<AbortController>();

  private readonly changeWaiters = new Set<AbortController>();

  private unavailableReason: string | undefined;

  private sourceRecoveredAtMs = -Infinity;

  private leavingListeners: ReadonlyArray<LeavingListener> = [];

  private configurationListeners: ReadonlyArray<ConfigurationListener> = [];

  constructor(
    private readonly kernel: Kernel,
    readonly bounds: ServingBounds,
    private readonly regions: ReadonlyMap<string, string>,
  ) {
    super();
  }

  get configuration(): ServingConfiguration | undefined {
    return this.current;
  }

  /** The configuration as it was published. */
  get configurationValue(): PublishedValue | undefined {
    return this.publishedConfiguration;
  }

  /** Whether the last call to the source failed. */
  get isSourceUnavailable(): boolean {
    return this.unavailableReason !== undefined;
  }

  /** Revision up to which this node knows every change. */
  get completeToRevision(): number {
    return this.latestCompleteRevision;
  }

  markCompleteTo(revision: number): void {
    this.latestCompleteRevision = Math.max(this.latestCompleteRevision, revision);
  }

  getRevision(endpointId: EndpointId): number {
    return this.revisions.get(endpointId) ?? 0;
  }

  getValue(endpointId: EndpointId): PublishedValue | undefined {
    return this.publishedEndpoints.get(endpointId);
  }

  getConfirmedAgeMs(): number {
    const { maxWallLeadMs } = DEPLOYMENT_OPTIONS;
    return computeConfirmedAgeMs(this.confirmation, this.readClocks(), maxWallLeadMs);
  }

  readClocks(): ClockReading {
    const { clock } = this.kernel;
    return { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
  }

  listAssignable(service: string): ReadonlyArray<KnownBackEnd> {
    return this.listAll().filter(
      (backEnd) => backEnd.service === service && backEnd.leavingSinceMs === undefined,
    );
  }

  listAll(): ReadonlyArray<KnownBackEnd> {
    return [...this.endpoints.values()];
  }

  find(endpointId: EndpointId): KnownBackEnd | undefined {
    return this.endpoints.get(endpointId);
  }

  getRegion(dataCentre: string): string | undefined {
    return this.regions.get(dataCentre);
  }

  onLeaving(listener: LeavingListener): void {
    this.leavingListeners = [...this.leavingListeners, listener];
  }

  onConfiguration(listener: ConfigurationListener): void {
    this.configurationListeners = [...this.configurationListeners, listener];
  }

  /** @param isComplete whether the change is part of a full read. */
  applyChange(change: PublishedChange, isComplete: boolean): void {
    if (change.kind === 'configuration') this.setConfiguration(change.configuration, change.value);
    if (change.kind === 'endpoint') this.applyEndpoint(change.backEnd, change.value);
    if (change.kind === 'endpoint-removed') this.removeEndpoint(change.endpointId, change.revision);
    if (change.kind === 'unreadable') {
      const { key, reason, revision, endpointId } = change;
      if (this.reportedValues.add(change)) {
        this.kernel.log.warn('published value ignored', { key, revision, reason, isComplete });
      }
      if (endpointId !== undefined) this.applyUnreadable(endpointId, revision);
    }
  }

  /** Known endpoints that are missing from a list. */
  listMissingFrom(listed: ReadonlyArray<EndpointId>): ReadonlyArray<EndpointId> {
    const listedIds = new Set(listed);
    return [...this.endpoints.keys()].filter((endpointId) => !listedIds.has(endpointId));
  }

  setConfiguration(configuration: ServingConfiguration, value: PublishedValue): void {
    if (this.current && configuration.version <= this.current.version) return;
    this.kernel.log.info('configuration applied', {
      version: configuration.version,
      replacedVersion: this.current?.version,
      routes: configuration.routes.length,
      keys: configuration.keyHolders?.size,
    });
    this.current = configuration;
    this.publishedConfiguration = value;
    this.notifyListeners(this.configurationListeners, configuration);
    this.notifyChange();
  }

  /** Ignores states older than the known one, which stale reads and other nodes may deliver. */
  applyEndpoint(backEnd: BackEnd, value: PublishedValue): void {
    const before = this.endpoints.get(backEnd.endpointId);
    if (value.revision < this.getRevision(backEnd.endpointId)) return;
    // Every change up to the complete revision is known, so an unknown endpoint was removed by then.
    if (!before && value.revision <= this.latestCompleteRevision) return;
    this.expiredEntries.delete(backEnd.endpointId);
    const isRestarted = before !== undefined && before.startedAtWallMs !== backEnd.startedAtWallMs;
    if (before && isRestarted && backEnd.startedAtWallMs < before.startedAtWallMs) return;
    const nowMs = this.kernel.clock.nowMs();
    const wasLeaving = before !== undefined && !isRestarted ? before.leavingSinceMs : undefined;
    const known: KnownBackEnd = {
      ...backEnd,
      leavingSinceMs: backEnd.isLeaving ? (wasLeaving ?? nowMs) : undefined,
      warmUpUntilMs: nowMs + backEnd.warmUpMs,
    };
    this.endpoints.set(backEnd.endpointId, known);
    this.publishedEndpoints.set(backEnd.endpointId, value);
    this.revisions.set(backEnd.endpointId, value.revision);
    if (!before || isRestarted || before.leavingSinceMs !== known.leavingSinceMs) {
      this.logChange(known, isRestarted ? 'restarted' : 'listed');
    }
    if (before && isRestarted) this.notifyLeaving(before);
    else if (known.leavingSinceMs !== undefined && wasLeaving === undefined) {
      this.notifyLeaving(known);
    }
  }

  /** @param revision of the removal, or of the full read in which the endpoint was missing. */
  removeEndpoint(endpointId: EndpointId, revision: number): void {
    const known = this.endpoints.get(endpointId);
    if (!known || revision < this.getRevision(endpointId)) return;
    this.revisions.set(endpointId, revision);
    if (known.leavingSinceMs !== undefined) return;
    const { expiredEntryGraceMs } = DEPLOYMENT_OPTIONS;
    const removedAtMs = this.sourceRecoveredAtMs + expiredEntryGraceMs;
    if (this.unavailableReason === undefined && this.kernel.clock.nowMs() >= removedAtMs) {
      this.markLeaving(known, 'entry removed');
    } else if (!this.expiredEntries.has(endpointId)) {
      this.expiredEntries.set(endpointId, removedAtMs);
      this.logChange(known, 'entry expired while the source was unavailable');
    }
  }

  /** Applies the report of another node that the endpoint is leaving or gone. */
  applyDeparture(
    endpointId: EndpointId,
    revision: number,
    reason = 'reported as leaving by another node',
  ): void {
    const known = this.endpoints.get(endpointId);
    if (!known || revision < this.getRevision(endpointId)) return;
    this.revisions.set(endpointId, revision);
    if (known.leavingSinceMs !== undefined) return;
    this.expiredEntries.delete(endpointId);
    this.markLeaving(known, reason);
  }

  /** Applies a confirmation from another node; the source may still be unavailable to this one. */
  confirmRelayed(asOfMs: number, sentAt: ClockReading): void {
    if (asOfMs <= (this.confirmation?.asOfMs ?? -Infinity)) return;
    this.confirmation = { asOfMs, ...sentAt };
  }

  /**
   * Confirms that everything published up to a monotonic time is known.
   * @param sentAt clock readings from before the call to the source, so that a suspension
   * during the call is detected.
   */
  confirm(asOfMs: number, sentAt: ClockReading): void {
    const { clock, log } = this.kernel;
    if (this.unavailableReason !== undefined) {
      log.info('source regained', { reason: this.unavailableReason });
      this.unavailableReason = undefined;
      this.sourceRecoveredAtMs = clock.nowMs();
      this.expiredEntries.forEach((_, endpointId) =>
        this.expiredEntries.set(
          endpointId,
          this.sourceRecoveredAtMs + DEPLOYMENT_OPTIONS.expiredEntryGraceMs,
        ),
      );
    }
    this.confirmRelayed(asOfMs, sentAt);
  }

  /** Resolves at the next change of the configuration or of an endpoint, or after the time. */
  async waitForChange(maxWaitMs: number): Promise<void> {
    if (maxWaitMs <= 0) return;
    const waiter = new AbortController();
    this.changeWaiters.add(waiter);
    await this.kernel.clock.sleep(maxWaitMs, waiter.signal);
    this.changeWaiters.delete(waiter);
  }

  markSourceUnavailable(reason: string): void {
    if (this.unavailableReason === undefined) {
      const confirmedAgeMs = Math.round(this.getConfirmedAgeMs());
      this.kernel.log.warn('source lost', { reason, confirmedAgeMs });
    }
    this.unavailableReason = reason;
  }

  /** Aborts when the confirmed age becomes unknown, as after a suspension of the machine. */
  watchForSuspension(): Deadline {
    const watch = new AbortController();
    this.suspensionWatches.add(watch);
    return { signal: watch.signal, stop: () => this.suspensionWatches.delete(watch) };
  }

  /** Marks expired entries as leaving and evicts endpoints that left long ago. */
  sweep(): void {
    const nowMs = this.kernel.clock.nowMs();
    if (this.confirmation && !Number.isFinite(this.getConfirmedAgeMs())) {
      this.kernel.log.warn('wall clock ran ahead of the monotonic clock', {
        confirmedAsOfMs: this.confirmation.asOfMs,
      });
      this.confirmation = undefined;
      this.suspensionWatches.forEach((watch) => watch.abort());
      this.suspensionWatches.clear();
    }
    if (this.unavailableReason === undefined) {
      [...this.expiredEntries]
        .filter(([, removedAtMs]) => removedAtMs <= nowMs)
        .forEach(([endpointId]) => {
          this.expiredEntries.delete(endpointId);
          const known = this.endpoints.get(endpointId);
          if (known && known.leavingSinceMs === undefined) {
            this.markLeaving(known, 'entry not renewed');
          }
        });
    }
    this.listAll()
      .filter(
        ({ leavingSinceMs = Infinity }) =>
          nowMs - leavingSinceMs > DEPLOYMENT_OPTIONS.departedRetentionMs,
      )
      .forEach(({ endpointId }) => {
        this.endpoints.delete(endpointId);
        this.publishedEndpoints.delete(endpointId);
        this.revisions.delete(endpointId);
      });
  }

  /**
   * An entry that can't be read names no endpoint to use, so it counts as removed. At the revision of
   * the known state it is a damaged copy of that state.
   */
  private applyUnreadable(endpointId: EndpointId, revision = 0): void {
    if (revision <= this.getRevision(endpointId)) return;
    this.applyDeparture(endpointId, revision, 'entry unreadable');
  }

  private markLeaving(known: KnownBackEnd, reason: string): void {
    const leaving = { ...known, leavingSinceMs: this.kernel.clock.nowMs() };
    this.endpoints.set(known.endpointId, leaving);
    this.logChange(leaving, reason);
    this.notifyLeaving(leaving);
  }

  private notifyLeaving(backEnd: KnownBackEnd): void {
    this.notifyListeners(this.leavingListeners, backEnd);
  }

  /** A listener that throws must not keep later values from being applied. */
  private notifyListeners<T>(listeners: ReadonlyArray<(value: T) => void>, value: T): void {
    listeners.forEach((listener) => {
      try {
        listener(value);
      } catch (thrown) {
        this.kernel.log.error('listener failed', { cause: thrown });
      }
    });
  }

  private notifyChange(): void {
    this.changeWaiters.forEach((waiter) => waiter.abort('changed'));
  }

  private logChange({ endpointId, service, address, ...known }: KnownBackEnd, why: string): void {
    this.kernel.log.info('endpoint', {
      endpointId,
      service,
      address,
      dataCentre: known.dataCentre,
      isLeaving: known.leavingSinceMs !== undefined,
      why,
    });
    this.notifyChange();
  }
}
