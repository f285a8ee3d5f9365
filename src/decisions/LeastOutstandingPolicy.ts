/**
 * The endpoint with the least work of this node, in the request's region first.
 *
 * This is the policy for calls of services: they are short, so the node's own count says enough.
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
    // Calls have no notion of room: another region serves only when none is left in their own.
    const eligible = request.kind.type === 'call' && near.length > 0 ? near : usable;
    // The starting point differs between nodes, so that idle nodes don't all begin with the first.
    const start = this.random.nextIndex(eligible.length);
    const turned = [...eligible.slice(start), ...eligible.slice(0, start)];
    const chosen = findLeastOutstanding(turned) as EndpointView;
    return this.route(request, chosen, usable, {
      reason: 'This node has the least work outstanding there.',
      passedOver: 'more work outstanding, or another region',
    });
  }
}

registerRoutingPolicy(LeastOutstandingPolicy);
