/** Baseline policy that chooses the endpoints in turn, regardless of load. */
import type { EndpointView, RoutingRequest } from './EndpointView';
import { registerRoutingPolicy, RoutingPolicy, type PolicyChoice } from './RoutingPolicy';

/** @public */
export class RoundRobinPolicy extends RoutingPolicy {
  static override readonly type = 'round-robin';

  private turn = this.random.nextIndex(1_000);

  protected override choose(
    request: RoutingRequest,
    usable: ReadonlyArray<EndpointView>,
  ): PolicyChoice {
    this.turn += 1;
    const chosen = usable[this.turn % usable.length] as EndpointView;
    return this.route(request, chosen, usable, {
      reason: 'It was the turn of this endpoint.',
      passedOver: 'not its turn',
    });
  }
}

registerRoutingPolicy(RoundRobinPolicy);
