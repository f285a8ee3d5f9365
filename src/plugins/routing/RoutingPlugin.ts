/**
 * Provides the router, which assigns work to endpoints.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { DecisionLog, Fleet, Router } from '../../services';
import { EndpointRouter } from './EndpointRouter';

/** Hex digits of the incarnation that are used as seed; the generator's state has 32 bits. */
const SEED_HEX_DIGITS = 8;

/** @internal */
export class RoutingPlugin extends Plugin {
  static override readonly type = 'routing';

  override setUp(): void {
    const { clock, incarnation, signal } = this.kernel;
    this.kernel.provide(
      Router,
      new EndpointRouter({
        fleet: this.kernel.get(Fleet),
        decisions: this.kernel.get(DecisionLog),
        clock,
        // Seeds differ between nodes, so that nodes don't make the same random choices.
        seed: parseInt(incarnation.slice(0, SEED_HEX_DIGITS), 16),
        stopSignal: signal,
      }),
    );
  }
}

registerPlugin(RoutingPlugin);
