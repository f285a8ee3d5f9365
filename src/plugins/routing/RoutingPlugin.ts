/**
 * Chooses endpoints for work.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { DecisionLog, Fleet, Router } from '../../services';
import { EndpointRouter } from './EndpointRouter';

/** Hex digits of the incarnation that make the seed; more don't fit into a 32-bit state. */
const SEED_DIGITS = 8;

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
        // Differs between nodes, so that they don't make the same random choices.
        seed: parseInt(incarnation.slice(0, SEED_DIGITS), 16),
        stopSignal: signal,
      }),
    );
  }
}

registerPlugin(RoutingPlugin);
