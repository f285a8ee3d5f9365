/**
 * Adapts the system to the platform's names, formats and routes. This folder makes no decisions.
 */
import { Plugin, registerPlugin } from '../kernel';
import { DeploymentSource, FrontSettingsStore, HttpRoutes, RequestDialect } from '../services';
import { DirectoryRoutes } from './DirectoryRoutes';
import { PlatformDialect } from './PlatformDialect';
import { ReadinessRoutes } from './ReadinessRoutes';
import { StoreSource } from './StoreSource';

/** @internal */
export class PlatformPlugin extends Plugin {
  static override readonly type = 'platform';

  override setUp(): void {
    const { node } = this.kernel.get(FrontSettingsStore).settings;
    this.kernel.provide(RequestDialect, new PlatformDialect());
    this.kernel.provide(DeploymentSource, new StoreSource(node.configurationUrl));
    this.kernel.provide(HttpRoutes, new DirectoryRoutes(this.kernel));
    this.kernel.provide(HttpRoutes, new ReadinessRoutes(this.kernel));
  }
}

registerPlugin(PlatformPlugin);
