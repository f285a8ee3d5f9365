/**
 * The version of the configuration that this node applies.
 *
 * It is replaced only by a newer version, whatever the era. A version that the source lost when it
 * came back from an older copy stays in force until a higher one is published. One that can't be read
 * leaves the version before in force, which is no longer confirmed then.
 */
import type { ServingBounds, ServingConfiguration, SourcePosition } from '../../core';
import type { Kernel } from '../../kernel';
import { ServingMetrics, type PublishedValue } from '../../services';
import type { Confirmations } from './Confirmations';
import type { DeploymentEvents } from './DeploymentEvents';
import { reportUnreadableEntries } from './reportUnreadable';

/** @internal */
export class ConfigurationInForce {
  private current: ServingConfiguration | undefined;

  private published: PublishedValue | undefined;

  constructor(
    private readonly kernel: Kernel,
    private readonly bounds: ServingBounds,
    private readonly confirmations: Confirmations,
    private readonly events: DeploymentEvents,
  ) {}

  get configuration(): ServingConfiguration | undefined {
    return this.current;
  }

  /** The configuration as it was published. */
  get value(): PublishedValue | undefined {
    return this.published;
  }

  apply(configuration: ServingConfiguration, value: PublishedValue): void {
    this.confirmations.markReadable(value.position);
    if (this.current && configuration.version <= this.current.version) return;
    this.kernel.log.info('configuration applied', {
      version: configuration.version,
      replacedVersion: this.current?.version,
      routes: configuration.routes.length,
      keys: configuration.keyHolders?.size,
      unreadable: configuration.unreadable.entries.length,
    });
    reportUnreadableEntries(this.kernel, configuration);
    this.current = configuration;
    this.published = value;
    this.events.notifyConfiguration(configuration);
    this.events.notifyChange();
  }

  /**
   * The version in force stays for now, but it is no longer confirmed: a key that the newer one may
   * have removed is accepted only until the bound for the removal of keys.
   */
  markUnreadable(position: SourcePosition): void {
    if (!this.confirmations.markUnreadable(position)) return;
    this.kernel.get(ServingMetrics).countUnreadable('version', 1);
    this.kernel.log.error('newest configuration unreadable', {
      ...position,
      version: this.current?.version,
      confirmedAgeMs: Math.round(this.confirmations.getConfigurationAgeMs()),
      boundMs: this.bounds.revocationWithinMs,
    });
  }
}
