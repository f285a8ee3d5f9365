/**
 * Keeps the configuration and the endpoint list, read from the source or from other nodes.
 */
import { Plugin, registerPlugin } from '../../kernel';
import {
  Deployment,
  EndpointHistory,
  FrontSettingsStore,
  GaugeSource,
  PeerHandler,
  ReadinessCheck,
  SeedAddresses,
  SharedState,
} from '../../services';
import { DeploymentStore } from './DeploymentStore';
import { DeploymentGauges } from './DeploymentGauges';
import { DEPLOYMENT_OPTIONS } from './options';
import { RelayHandler } from './RelayHandler';
import { RelayTask } from './RelayTask';
import { SharedDepartures } from './SharedDepartures';
import { SourceHistory } from './SourceHistory';
import { SourceTask } from './SourceTask';

class ConfigurationReadiness extends ReadinessCheck {
  constructor(private readonly deployment: Deployment) {
    super();
  }

  getNotReadyReason(): string | undefined {
    return this.deployment.configuration ? undefined : 'no configuration has been received yet';
  }
}

class ConfiguredSeedAddresses extends SeedAddresses {
  constructor(private readonly settingsStore: FrontSettingsStore) {
    super();
  }

  listAddresses(): ReadonlyArray<string> {
    return this.settingsStore.settings.seeds;
  }
}

/** @internal */
export class DeploymentPlugin extends Plugin {
  static override readonly type = 'deployment';

  private store!: DeploymentStore;

  override setUp(): void {
    const settingsStore = this.kernel.get(FrontSettingsStore);
    const { bounds, regions } = settingsStore.settings;
    this.store = new DeploymentStore(this.kernel, bounds, new Map(Object.entries(regions)));
    this.kernel.provide(Deployment, this.store);
    this.kernel.provide(EndpointHistory, new SourceHistory(this.kernel, this.store));
    this.kernel.provide(PeerHandler, new RelayHandler(this.store));
    this.kernel.provide(SharedState, new SharedDepartures(this.store, this.kernel.clock));
    this.kernel.provide(GaugeSource, new DeploymentGauges(this.store));
    this.kernel.provide(ReadinessCheck, new ConfigurationReadiness(this.store));
    this.kernel.provide(SeedAddresses, new ConfiguredSeedAddresses(settingsStore));
  }

  override async start(): Promise<void> {
    const { clock } = this.kernel;
    const task = new SourceTask(this.kernel, this.store);
    this.kernel.runTask('read the source', async (signal) => task.run(signal));
    const relay = new RelayTask(this.kernel, this.store);
    this.kernel.runTask('ask other nodes', async (signal) => relay.run(signal));
    this.kernel.runTask('sweep endpoints', async (signal) => {
      while (!signal.aborted) {
        this.store.sweep();
        await clock.sleep(DEPLOYMENT_OPTIONS.sweepIntervalMs, signal);
      }
    });
  }
}

registerPlugin(DeploymentPlugin);
