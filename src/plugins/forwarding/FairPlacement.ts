/**
 * Places the generations of services whose customers share scarce room fairly.
 *
 * The order and the chance of a wait are decided in `waitingOrder`, the room in `expectedRoom`, and the
 * use of the customers in `fairShares`.
 */
import type { ServingConfiguration } from '../../core';
import { FairShares, servesMixedUrgency } from '../../decisions';
import type { Kernel } from '../../kernel';
import { FrontSettingsStore, GaugeSource } from '../../services';
import type { PlacementInput, RequestReservation } from './EndpointPlacer';
import { FairGeneration, type FairRequest } from './FairGeneration';
import { FairQueue } from './FairQueue';
import { RoomForecaster, type RoomSources } from './RoomForecaster';
import type { UsableEndpoints } from './UsableEndpoints';
import { WaitingGauges } from './WaitingGauges';

/** @internal */
export class FairPlacement {
  private readonly shares = new FairShares();

  private readonly queue: FairQueue;

  private readonly forecaster: RoomForecaster;

  private readonly active = new WeakMap<ServingConfiguration, Map<string, boolean>>();

  private arrivals = 0;

  constructor(
    private readonly kernel: Kernel,
    usable: UsableEndpoints,
    sources: RoomSources,
  ) {
    this.queue = new FairQueue(kernel.clock, this.shares);
    this.forecaster = new RoomForecaster(kernel, usable, sources);
    kernel.provide(GaugeSource, new WaitingGauges(this.shares, () => this.queue.list()));
  }

  /** Whether the customers of the service share its room, by the settings and the configuration. */
  appliesTo({ configuration, service }: PlacementInput): boolean {
    const { fairShares } = this.kernel.get(FrontSettingsStore).settings.scheduling;
    if (fairShares !== 'auto') return fairShares === 'on';
    const known = this.active.get(configuration) ?? new Map<string, boolean>();
    this.active.set(configuration, known);
    const isMixed = known.get(service) ?? servesMixedUrgency(configuration, service);
    known.set(service, isMixed);
    return isMixed;
  }

  retryAll(): void {
    this.forecaster.invalidate();
    this.queue.retryAll();
  }

  /** @throws ServingError if it has no chance, or the caller's signal aborts. */
  async place(request: FairRequest, signal: AbortSignal): Promise<RequestReservation> {
    this.arrivals += 1;
    const queued = new FairGeneration(this.kernel, this.forecaster, this.shares, {
      ...request,
      arrival: this.arrivals,
    });
    await this.queue.wait(queued, signal);
    if (queued.placed) return queued.placed;
    signal.throwIfAborted();
    throw new Error('The wait ended without a place and without an error.');
  }
}
