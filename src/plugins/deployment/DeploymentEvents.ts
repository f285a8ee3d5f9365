/**
 * Who is told of changes of the configuration and of the endpoints, and which calls end with them.
 */
import type { Deadline, ServingConfiguration } from '../../core';
import type { Kernel } from '../../kernel';
import type { KnownBackEnd } from '../../services';

type LeavingListener = (backEnd: KnownBackEnd) => void;
type ConfigurationListener = (configuration: ServingConfiguration) => void;

/** @internal */
export class DeploymentEvents {
  /** Of calls that end when the confirmed age becomes unknown, or a newer era is heard of. */
  private readonly interruptions = new Set<AbortController>();

  private readonly changeWaiters = new Set<AbortController>();

  private leavingListeners: ReadonlyArray<LeavingListener> = [];

  private configurationListeners: ReadonlyArray<ConfigurationListener> = [];

  private evacuationListeners: ReadonlyArray<() => void> = [];

  constructor(private readonly kernel: Kernel) {}

  onLeaving(listener: LeavingListener): void {
    this.leavingListeners = [...this.leavingListeners, listener];
  }

  onConfiguration(listener: ConfigurationListener): void {
    this.configurationListeners = [...this.configurationListeners, listener];
  }

  onEvacuation(listener: () => void): void {
    this.evacuationListeners = [...this.evacuationListeners, listener];
  }

  notifyEvacuation(): void {
    this.notifyListeners(this.evacuationListeners, undefined);
  }

  notifyLeaving(backEnd: KnownBackEnd): void {
    this.notifyListeners(this.leavingListeners, backEnd);
  }

  notifyConfiguration(configuration: ServingConfiguration): void {
    this.notifyListeners(this.configurationListeners, configuration);
  }

  /** Ends the waits for a change. */
  notifyChange(): void {
    this.changeWaiters.forEach((waiter) => waiter.abort('changed'));
  }

  /** Logs what is known of an endpoint now, and ends the waits for a change. */
  reportEndpoint({ endpointId, service, address, ...known }: KnownBackEnd, why: string): void {
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

  /** Resolves at the next change, or after the time. */
  async waitForChange(maxWaitMs: number): Promise<void> {
    if (maxWaitMs <= 0) return;
    const waiter = new AbortController();
    this.changeWaiters.add(waiter);
    await this.kernel.clock.sleep(maxWaitMs, waiter.signal);
    this.changeWaiters.delete(waiter);
  }

  watchForInterruption(): Deadline {
    const watch = new AbortController();
    this.interruptions.add(watch);
    return { signal: watch.signal, stop: () => this.interruptions.delete(watch) };
  }

  interrupt(): void {
    this.interruptions.forEach((watch) => watch.abort());
    this.interruptions.clear();
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
}
