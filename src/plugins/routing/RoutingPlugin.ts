/**
 * Chooses endpoints for work.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { DecisionLog, Fleet, Router } from '../../services';
import { EndpointRouter } from './EndpointRouter';

/** @internal */
export class RoutingPlugin extends Plugin {
  static override readonly type = 'routing';

  override setUp(): void {
    this.kernel.provide(
      Router,
      new EndpointRouter(this.kernel.get(Fleet), this.kernel.get(DecisionLog)),
    );
  }
}

registerPlugin(RoutingPlugin);
