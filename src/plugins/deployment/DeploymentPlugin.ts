/**
 * What is known of the configuration and of the endpoints.
 */
import { Plugin, registerPlugin } from '../../kernel';
import {
  Deployment,
  FrontSettingsStore,
  GaugeSource,
  PeerHandler,
  ReadinessCheck,
  SeedAddresses,
} from '../../services';
import { DeploymentStore } from './DeploymentStore';
import { DeploymentGauges } from './DeploymentGauges';
import { DEPLOYMENT_OPTIONS } from './options';
import { RelayHandler } from './RelayHandler';
import { RelayTask } from './RelayTask';
import { SourceTask } from './SourceTask';

class ConfigurationReadiness extends ReadinessCheck {
  constructor(private readonly deployment: Deployment) {
    super();
  }

  getNotReadyReason(): string | undefined {
    return this.deployment.configuration ? undefined : 'no configuration has been learnt yet';
  }
}

class SeedsOfSettings extends SeedAddresses {
  constructor(private readonly book: FrontSettingsStore) {
    super();
  }

  listAddresses(): ReadonlyArray<string> {
    return this.book.settings.seeds;
  }
}

/** @internal */
export class DeploymentPlugin extends Plugin {
  static override readonly type = 'deployment';

  private book!: DeploymentStore;

  override setUp(): void {
    const settingsBook = this.kernel.get(FrontSettingsStore);
    const { bounds, regions } = settingsBook.settings;
    this.book = new DeploymentStore(this.kernel, bounds, new Map(Object.entries(regions)));
    this.kernel.provide(Deployment, this.book);
    this.kernel.provide(PeerHandler, new RelayHandler(this.book));
    this.kernel.provide(GaugeSource, new DeploymentGauges(this.book));
    this.kernel.provide(ReadinessCheck, new ConfigurationReadiness(this.book));
    this.kernel.provide(SeedAddresses, new SeedsOfSettings(settingsBook));
  }

  override async start(): Promise<void> {
    const { clock } = this.kernel;
    const task = new SourceTask(this.kernel, this.book);
    this.kernel.runTask('read the source', async (signal) => task.run(signal));
    const relay = new RelayTask(this.kernel, this.book);
    this.kernel.runTask('ask other nodes', async (signal) => relay.run(signal));
    this.kernel.runTask('sweep endpoints', async (signal) => {
      while (!signal.aborted) {
        this.book.sweep();
        await clock.sleep(DEPLOYMENT_OPTIONS.sweepIntervalMs, signal);
      }
    });
  }
}

registerPlugin(DeploymentPlugin);
