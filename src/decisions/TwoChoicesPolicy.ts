/** Baseline policy that chooses the less loaded of two random endpoints, by report and own work. */
import type { EndpointView, RoutingRequest } from './EndpointView';
import { registerRoutingPolicy, RoutingPolicy, type PolicyChoice } from './RoutingPolicy';

function estimateLoad({ report, reservations }: EndpointView): number {
  return Math.max(reservations.length, (report?.running ?? 0) + (report?.waiting ?? 0));
}

/** @public */
export class TwoChoicesPolicy extends RoutingPolicy {
  static override readonly type = 'two-choices';

  protected override choose(
    request: RoutingRequest,
    usable: ReadonlyArray<EndpointView>,
  ): PolicyChoice {
    const first = usable[this.random.nextIndex(usable.length)] as EndpointView;
    const second = usable[this.random.nextIndex(usable.length)] as EndpointView;
    const chosen = estimateLoad(second) < estimateLoad(first) ? second : first;
    return this.route(request, chosen, usable, {
      reason: 'It has the least load of two endpoints chosen at random.',
      passedOver: 'more load, or not among the two',
    });
  }
}

registerRoutingPolicy(TwoChoicesPolicy);
