/**
 * The node's copy of the configuration and of the list of endpoints.
 *
 * A configuration is replaced only by a newer version. An endpoint that has left the list, or that
 * said that it leaves, gets no new work; it is remembered for a while for the work that it still has.
 */
import type {
  BackEnd,
  Deadline,
  EndpointId,
  ServingBounds,
  ServingConfiguration,
} from '../../core';
import { computeConfirmedAgeMs, type Confirmation } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, type KnownBackEnd } from '../../services';
import { DEPLOYMENT_OPTIONS } from './options';

type LeavingListener = (backEnd: KnownBackEnd) => void;
type ConfigurationListener = (configuration: ServingConfiguration) => void;

/** @internal */
export class DeploymentBook extends Deployment {
  private readonly backEnds = new Map<EndpointId, KnownBackEnd>();

  /** Entries that lapsed while the source was away, by the time at which they count as gone. */
  private readonly lapsed = new Map<EndpointId, number>();

  private held: ServingConfiguration | undefined;

  private confirmation: Confirmation | undefined;

  private readonly doubts = new Set<AbortController>();

  private unavailableReason: string | undefined;

  private returnedAtMs = -Infinity;

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
    return this.held;
  }

  getConfirmedAgeMs(): number {
    const { clock } = this.kernel;
    const reading = { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
    return computeConfirmedAgeMs(this.confirmation, reading, DEPLOYMENT_OPTIONS.maxWallLeadMs);
  }

  listAssignable(service: string): ReadonlyArray<KnownBackEnd> {
    return this.listAll().filter(
      (backEnd) => backEnd.service === service && backEnd.leavingSinceMs === undefined,
    );
  }

  listAll(): ReadonlyArray<KnownBackEnd> {
    return [...this.backEnds.values()];
  }

  find(endpointId: EndpointId): KnownBackEnd | undefined {
    return this.backEnds.get(endpointId);
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

  takeConfiguration(configuration: ServingConfiguration): void {
    if (this.held && configuration.version <= this.held.version) return;
    this.kernel.log.info('configuration taken', {
      version: configuration.version,
      replacedVersion: this.held?.version,
      routes: configuration.routes.length,
      keys: configuration.keyHolders?.size,
    });
    this.held = configuration;
    this.configurationListeners.forEach((listener) => listener(configuration));
  }

  takeBackEnd(backEnd: BackEnd): void {
    const before = this.backEnds.get(backEnd.endpointId);
    this.lapsed.delete(backEnd.endpointId);
    const isNewStart = before !== undefined && before.startedAtWallMs !== backEnd.startedAtWallMs;
    if (before && isNewStart && backEnd.startedAtWallMs < before.startedAtWallMs) return;
    const nowMs = this.kernel.clock.nowMs();
    const wasLeaving = before !== undefined && !isNewStart ? before.leavingSinceMs : undefined;
    const known: KnownBackEnd = {
      ...backEnd,
      leavingSinceMs: backEnd.isLeaving ? (wasLeaving ?? nowMs) : undefined,
      warmUpUntilMs: nowMs + backEnd.warmUpMs,
    };
    this.backEnds.set(backEnd.endpointId, known);
    if (!before || isNewStart || before.leavingSinceMs !== known.leavingSinceMs) {
      this.logChange(known, isNewStart ? 'started again' : 'listed');
    }
    if (before && isNewStart) this.notifyLeaving(before);
    else if (known.leavingSinceMs !== undefined && wasLeaving === undefined) {
      this.notifyLeaving(known);
    }
  }

  removeBackEnd(endpointId: EndpointId): void {
    const known = this.backEnds.get(endpointId);
    if (!known || known.leavingSinceMs !== undefined) return;
    const { lapsedEntryGraceMs } = DEPLOYMENT_OPTIONS;
    const goneAtMs = this.returnedAtMs + lapsedEntryGraceMs;
    if (this.unavailableReason === undefined && this.kernel.clock.nowMs() >= goneAtMs) {
      this.markLeaving(known, 'entry removed');
    } else if (!this.lapsed.has(endpointId)) {
      this.lapsed.set(endpointId, goneAtMs);
      this.logChange(known, 'entry lapsed while the source was away');
    }
  }

  confirm(asOfMs: number): void {
    const { clock, log } = this.kernel;
    if (this.unavailableReason !== undefined) {
      log.info('source regained', { reason: this.unavailableReason });
      this.unavailableReason = undefined;
      this.returnedAtMs = clock.nowMs();
      this.lapsed.forEach((_, endpointId) =>
        this.lapsed.set(endpointId, this.returnedAtMs + DEPLOYMENT_OPTIONS.lapsedEntryGraceMs),
      );
    }
    if (asOfMs <= (this.confirmation?.asOfMs ?? -Infinity)) return;
    this.confirmation = { asOfMs, nowMs: clock.nowMs(), wallMs: clock.wallMs() };
  }

  noteUnavailable(reason: string): void {
    if (this.unavailableReason === undefined) {
      const confirmedAgeMs = Math.round(this.getConfirmedAgeMs());
      this.kernel.log.warn('source lost', { reason, confirmedAgeMs });
    }
    this.unavailableReason = reason;
  }

  /** Aborts when the age of the confirmation becomes unknown, as after a suspension. */
  watchForDoubt(): Deadline {
    const doubt = new AbortController();
    this.doubts.add(doubt);
    return { signal: doubt.signal, stop: () => this.doubts.delete(doubt) };
  }

  /** Turns lapsed entries into departures and forgets endpoints that left long ago. */
  sweep(): void {
    const nowMs = this.kernel.clock.nowMs();
    if (this.confirmation && !Number.isFinite(this.getConfirmedAgeMs())) {
      this.kernel.log.warn('time of day ran ahead', { confirmedAsOfMs: this.confirmation.asOfMs });
      this.confirmation = undefined;
      this.doubts.forEach((doubt) => doubt.abort());
      this.doubts.clear();
    }
    if (this.unavailableReason === undefined) {
      [...this.lapsed]
        .filter(([, goneAtMs]) => goneAtMs <= nowMs)
        .forEach(([endpointId]) => {
          this.lapsed.delete(endpointId);
          const known = this.backEnds.get(endpointId);
          if (known && known.leavingSinceMs === undefined) {
            this.markLeaving(known, 'entry not renewed');
          }
        });
    }
    this.listAll()
      .filter(
        ({ leavingSinceMs = Infinity }) =>
          nowMs - leavingSinceMs > DEPLOYMENT_OPTIONS.departedKeptMs,
      )
      .forEach(({ endpointId }) => this.backEnds.delete(endpointId));
  }

  private markLeaving(known: KnownBackEnd, reason: string): void {
    const leaving = { ...known, leavingSinceMs: this.kernel.clock.nowMs() };
    this.backEnds.set(known.endpointId, leaving);
    this.logChange(leaving, reason);
    this.notifyLeaving(leaving);
  }

  private notifyLeaving(backEnd: KnownBackEnd): void {
    this.leavingListeners.forEach((listener) => listener(backEnd));
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
  }
}
