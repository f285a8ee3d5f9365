/** Baseline policy that chooses an endpoint at random, regardless of load. */
import type { EndpointView, RoutingRequest } from './EndpointView';
import { registerRoutingPolicy, RoutingPolicy, type PolicyChoice } from './RoutingPolicy';

/** @public */
export class RandomPolicy extends RoutingPolicy {
  static override readonly type = 'random';

  protected override choose(
    request: RoutingRequest,
    usable: ReadonlyArray<EndpointView>,
  ): PolicyChoice {
    const chosen = usable[this.random.nextIndex(usable.length)] as EndpointView;
    return this.route(request, chosen, usable, {
      reason: 'The endpoint was chosen at random.',
      passedOver: 'not chosen at random',
    });
  }
}

registerRoutingPolicy(RandomPolicy);
