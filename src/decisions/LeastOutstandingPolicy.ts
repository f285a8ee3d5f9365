/**
 * Chooses the endpoint with the fewest requests of this node, in the request's region first.
 *
 * Service calls use this policy: they are short, so the node's own count is a sufficient measure.
 */
import type { EndpointView, RoutingRequest } from './EndpointView';
import {
  findLeastOutstanding,
  registerRoutingPolicy,
  RoutingPolicy,
  type PolicyChoice,
} from './RoutingPolicy';

/** @public */
export class LeastOutstandingPolicy extends RoutingPolicy {
  static override readonly type = 'least-outstanding';

  protected override choose(
    request: RoutingRequest,
    usable: ReadonlyArray<EndpointView>,
  ): PolicyChoice {
    const near = usable.filter(({ vm }) => vm.region === request.region);
    // Calls reserve no capacity: other regions serve them only if their own has no usable endpoint.
    const eligible = request.kind.type === 'call' && near.length > 0 ? near : usable;
    // Starts at a random endpoint, so that idle nodes don't all choose the first.
    const start = this.random.nextIndex(eligible.length);
    const rotated = [...eligible.slice(start), ...eligible.slice(0, start)];
    const chosen = findLeastOutstanding(rotated) as EndpointView;
    return this.route(request, chosen, usable, {
      reason: 'This node has the least work outstanding there.',
      passedOver: 'more work outstanding, or another region',
    });
  }
}

registerRoutingPolicy(LeastOutstandingPolicy);
