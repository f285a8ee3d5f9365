/**
 * The node's in-memory copy of the configuration and of the endpoint list, put together from its
 * parts: how far the source was followed, the configuration in force, the table of endpoints with the
 * rules by which entries and departures change it, and the evacuated data centres.
 *
 * The tasks that read the source or another node apply what they read here; the other plug-ins see
 * the result as `Deployment`. An endpoint that is leaving, or whose data centre is evacuated, gets no
 * new work.
 */
import type {
  BackEnd,
  Deadline,
  EndpointId,
  ServingBounds,
  ServingConfiguration,
  SourcePosition,
} from '../../core';
import type { ClockReading } from '../../decisions';
import type { Kernel } from '../../kernel';
import {
  Deployment,
  Members,
  ServingMetrics,
  type KnownBackEnd,
  type PublishedChange,
  type PublishedValue,
} from '../../services';
import { ConfigurationInForce } from './ConfigurationInForce';
import type { AnnouncedDeparture, Departure, DepartureMemory } from './DepartureMemory';
import { DeploymentEvents } from './DeploymentEvents';
import { EndpointDepartures } from './EndpointDepartures';
import { EndpointEntries } from './EndpointEntries';
import { EndpointTable } from './EndpointTable';
import { Evacuations } from './Evacuations';
import { ExpiredEntries } from './ExpiredEntries';
import { FollowedSource } from './FollowedSource';
import { ReportedValues } from './ReportedValues';

/** @internal */
export class DeploymentStore extends Deployment {
  readonly evacuations: Evacuations;

  private readonly events: DeploymentEvents;

  private readonly source: FollowedSource;

  private readonly inForce: ConfigurationInForce;

  private readonly table = new EndpointTable();

  private readonly expired: ExpiredEntries;

  private readonly endpointDepartures: EndpointDepartures;

  private readonly entries: EndpointEntries;

  private readonly reportedValues = new ReportedValues();

  constructor(
    private readonly kernel: Kernel,
    readonly bounds: ServingBounds,
    private readonly regions: ReadonlyMap<string, string>,
  ) {
    super();
    const events = new DeploymentEvents(kernel);
    const source = new FollowedSource(kernel);
    const expired = new ExpiredEntries(kernel.clock);
    const { table } = this;
    const departures = new EndpointDepartures(kernel, events, source, table, expired);
    this.events = events;
    this.source = source;
    this.expired = expired;
    this.endpointDepartures = departures;
    this.entries = new EndpointEntries(kernel, events, source, table, expired, departures);
    this.inForce = new ConfigurationInForce(kernel, bounds, source.confirmations, events);
    this.evacuations = new Evacuations(kernel, events, regions);
  }

  get departures(): DepartureMemory {
    return this.endpointDepartures.memory;
  }

  get configuration(): ServingConfiguration | undefined {
    return this.inForce.configuration;
  }

  /** The configuration as it was published. */
  get configurationValue(): PublishedValue | undefined {
    return this.inForce.value;
  }

  /** Whether the last call to the source failed. */
  get isSourceUnavailable(): boolean {
    return this.source.isUnavailable;
  }

  /** Position up to which this node knows every change. */
  get completeTo(): SourcePosition {
    return this.source.completeTo;
  }

  markCompleteTo(position: SourcePosition): void {
    this.source.markCompleteTo(position);
  }

  get listGaps(): number {
    return this.source.gaps;
  }

  /** Notes that changes of the list may have been missed, as in a full read. */
  noteListGap(): void {
    this.source.noteGap();
  }

  /** Notes that the source has dropped changes that this node hasn't seen. */
  noteHistoryLost(): void {
    this.source.noteHistoryLost();
  }

  getHistoryLostAgeMs(): number {
    return this.source.getHistoryLostAgeMs();
  }

  /** Whether endpoints have had the time to write the entries again that the newest era has lost. */
  get isEraSettled(): boolean {
    return this.source.isEraSettled;
  }

  /** Highest era of the source that this node has heard of, from the source or another node. */
  get newestEra(): number {
    return this.source.newestEra;
  }

  /** Whether the source has come back from an older copy since this node read from it. */
  get isEraOver(): boolean {
    return this.source.isEraOver;
  }

  /** A newer era ends the calls that continue from a position in the older one. */
  hearOfEra(era: number): void {
    if (!this.source.hearOfEra(era)) return;
    if (this.completeTo.revision > 0) this.departures.beginEra();
    this.events.interrupt();
  }

  /**
   * Begins to apply everything that is published in a newer era. Entries that are missing from it
   * may be written again, so they are kept as after an outage.
   * @returns whether the era is newer than that of the known position.
   */
  enterEra(era: number): boolean {
    const before = this.completeTo;
    if (era <= before.era) return false;
    this.hearOfEra(era);
    this.source.beginEra(era);
    if (before.revision === 0) return true;
    this.kernel.log.warn('source era changed', {
      before,
      era,
      version: this.configuration?.version,
      endpoints: this.table.size,
      confirmedAgeMs: Math.round(this.getConfirmedAgeMs()),
    });
    this.kernel.get(ServingMetrics).countSourceEra();
    this.expired.restartGrace();
    this.events.notifyChange();
    return true;
  }

  /** Notes a position of the source, and applies entries that it shows to be written in its era. */
  noteEraStart(position: SourcePosition): void {
    this.departures
      .noteEraStart(position)
      .forEach(({ backEnd, value }) => this.entries.apply(backEnd, value, true));
  }

  getPosition(endpointId: EndpointId): SourcePosition {
    return this.table.getPosition(endpointId);
  }

  getValue(endpointId: EndpointId): PublishedValue | undefined {
    return this.table.getValue(endpointId);
  }

  getConfirmedAgeMs(): number {
    return this.source.confirmations.getConfigurationAgeMs();
  }

  /** Returns the time since everything that was published was known here, readable or not. */
  getSourceAgeMs(): number {
    return this.source.confirmations.getSourceAgeMs();
  }

  readClocks(): ClockReading {
    return this.source.confirmations.readClocks();
  }

  listAssignable(service: string): ReadonlyArray<KnownBackEnd> {
    return this.listAll().filter(
      (backEnd) =>
        backEnd.service === service &&
        backEnd.leavingSinceMs === undefined &&
        this.getEvacuatedSinceMs(backEnd.dataCentre) === undefined,
    );
  }

  listAll(): ReadonlyArray<KnownBackEnd> {
    return this.table.list();
  }

  find(endpointId: EndpointId): KnownBackEnd | undefined {
    return this.table.find(endpointId);
  }

  getRegion(dataCentre: string): string | undefined {
    return this.regions.get(dataCentre);
  }

  listRegions(): ReadonlySet<string> {
    return new Set(this.regions.values());
  }

  getEvacuatedSinceMs(dataCentre: string): number | undefined {
    return this.evacuations.getSinceMs(dataCentre);
  }

  /** Returns the data centres of the settings. */
  listDataCentres(): ReadonlyArray<string> {
    return [...this.regions.keys()];
  }

  onEvacuation(listener: () => void): void {
    this.events.onEvacuation(listener);
  }

  onLeaving(listener: (backEnd: KnownBackEnd) => void): void {
    this.events.onLeaving(listener);
  }

  onConfiguration(listener: (configuration: ServingConfiguration) => void): void {
    this.events.onConfiguration(listener);
  }

  /** @param isComplete whether the change is part of a full read. */
  applyChange(change: PublishedChange, isComplete: boolean): void {
    if (change.kind === 'configuration') this.setConfiguration(change.configuration, change.value);
    if (change.kind === 'endpoint') this.applyEndpoint(change.backEnd, change.value);
    if (change.kind === 'endpoint-removed') this.removeEndpoint(change.endpointId, change.position);
    if (change.kind === 'evacuation') this.evacuations.applyPublished(change, this.completeTo);
    if (change.kind === 'unreadable') {
      const { key, reason, position, endpointId, isConfiguration } = change;
      if (this.reportedValues.add(change)) {
        this.kernel.log.warn('published value ignored', { key, ...position, reason, isComplete });
      }
      if (endpointId !== undefined && position) {
        this.endpointDepartures.applyUnreadable(endpointId, position);
      }
      if (isConfiguration && position) this.inForce.markUnreadable(position);
    }
  }

  /** Returns the known endpoints that a complete list lacks, and drops the held entries it lacks. */
  takeMissingFrom(listed: ReadonlyArray<EndpointId>): ReadonlyArray<KnownBackEnd> {
    const listedIds = new Set(listed);
    this.departures.dropHeldExcept(listedIds);
    return this.listAll().filter(({ endpointId }) => !listedIds.has(endpointId));
  }

  setConfiguration(configuration: ServingConfiguration, value: PublishedValue): void {
    this.inForce.apply(configuration, value);
  }

  applyEndpoint(backEnd: BackEnd, value: PublishedValue): void {
    this.entries.apply(backEnd, value, false);
  }

  /** @param position of the removal, or of the full read in which the endpoint was missing. */
  removeEndpoint(endpointId: EndpointId, position: SourcePosition): void {
    this.entries.remove(endpointId, position);
  }

  /** Keeps an endpoint whose entry is missing for the time in which it may be written again. */
  expireEntry(endpointId: EndpointId, position: SourcePosition): void {
    this.entries.expire(endpointId, position);
  }

  /** Applies the report of another node that the endpoint is leaving or gone. */
  applyDeparture(departure: Departure): void {
    this.endpointDepartures.apply(departure);
  }

  override recordLeavingAnswer({ endpointId, startedAtWallMs }: KnownBackEnd): void {
    const atMs = this.kernel.clock.nowMs();
    const departure = { endpointId, startedAtWallMs, atMs };
    const wasAssignable = this.find(endpointId)?.leavingSinceMs === undefined;
    if (!this.applyAnnounced(departure, 'said in an answer that it is leaving')) return;
    if (wasAssignable) this.kernel.get(Members).announceToPartners();
  }

  override recordColdAnswer(backEnd: KnownBackEnd, remainingMs: number): void {
    this.table.extendWarmUp(backEnd, this.kernel.clock.nowMs() + remainingMs);
  }

  /** Applies what a process said of itself; returns whether it was new. */
  applyAnnounced(departure: AnnouncedDeparture, reason: string): boolean {
    return this.endpointDepartures.applyAnnounced(departure, reason);
  }

  /** Applies a confirmation from another node; the source may still be unavailable to this one. */
  confirmRelayed(
    asOfMs: number,
    sentAt: ClockReading,
    configurationAsOfMs: number | undefined,
  ): void {
    this.source.confirmations.confirm(asOfMs, sentAt, configurationAsOfMs);
  }

  /**
   * Confirms that everything published up to a monotonic time is known.
   * @param sentAt clock readings from before the call to the source, so that a suspension
   * during the call is detected.
   */
  confirm(asOfMs: number, sentAt: ClockReading): void {
    if (this.source.markAvailable()) this.expired.restartGrace();
    this.source.confirmations.confirm(asOfMs, sentAt, asOfMs);
  }

  /** Resolves at the next change of the configuration or of an endpoint, or after the time. */
  async waitForChange(maxWaitMs: number): Promise<void> {
    await this.events.waitForChange(maxWaitMs);
  }

  markSourceUnavailable(reason: string): void {
    this.source.markUnavailable(reason);
  }

  /** Aborts after a suspension of the machine, or when a newer era of the source is heard of. */
  watchForInterruption(): Deadline {
    return this.events.watchForInterruption();
  }

  /** Applies what follows from the time that has passed. */
  sweep(): void {
    const nowMs = this.kernel.clock.nowMs();
    this.departures
      .forgetOld(nowMs)
      .forEach(({ backEnd, value }) => this.entries.apply(backEnd, value, true));
    this.checkForSuspension();
    if (!this.isSourceUnavailable) this.entries.removeExpired(nowMs);
    this.table.evictDeparted(nowMs);
    this.evacuations.expireLost(this.completeTo);
  }

  private checkForSuspension(): void {
    if (!this.source.confirmations.clearAfterSuspension()) return;
    this.kernel.log.warn('wall clock ran ahead of the monotonic clock');
    this.events.interrupt();
  }
}
