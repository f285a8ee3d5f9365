/**
 * Places of brittle endpoints for nodes of a large fleet that have no share at any endpoint of a service.
 *
 * Each such node has one home, the endpoint in whose order it comes first. An endpoint takes as many
 * guests as there are rejections that the quota of places leaves, so that guests and shares together
 * cause no more than it survives. Nodes with the same roster agree about the guests.
 */
import type { EndpointId, VmId } from '../core';
import { hashText } from './hashText';
import type { NodeRoster } from './requestQuota';

/** @public */
export interface SharedPlaces {
  readonly endpointId: EndpointId;
  /** Places that are divided among all nodes. */
  readonly requests: number;
  readonly maxGuests: number;
}

function orderNodes(endpointId: EndpointId, { vmIds }: NodeRoster): ReadonlyArray<VmId> {
  return vmIds
    .map((vmId) => ({ vmId, weight: hashText(`${endpointId}\n${vmId}`) }))
    .sort((a, b) => b.weight - a.weight || (a.vmId < b.vmId ? -1 : 1))
    .map(({ vmId }) => vmId);
}

function computeGuests(
  roster: NodeRoster,
  places: ReadonlyArray<SharedPlaces>,
): ReadonlyMap<VmId, EndpointId> {
  const orders = places.map((each) => ({ ...each, order: orderNodes(each.endpointId, roster) }));
  const holders = new Set(orders.flatMap(({ order, requests }) => order.slice(0, requests)));
  const homes = new Map<VmId, { readonly endpointId: EndpointId; readonly position: number }>();
  orders.forEach(({ endpointId, order }) =>
    order.forEach((vmId, position) => {
      const home = homes.get(vmId);
      if (!home || position < home.position) homes.set(vmId, { endpointId, position });
    }),
  );
  return new Map(
    orders.flatMap(({ endpointId, order, maxGuests }) =>
      order
        .filter((vmId) => !holders.has(vmId) && homes.get(vmId)?.endpointId === endpointId)
        .slice(0, maxGuests)
        .map((vmId) => [vmId, endpointId] as const),
    ),
  );
}

/**
 * Returns the endpoint where each node is a guest, by node; those with a share, and those that no
 * endpoint takes, aren't in it.
 */
export function listGuests(
  roster: NodeRoster,
  places: ReadonlyArray<SharedPlaces>,
): ReadonlyMap<VmId, EndpointId> {
  if (!roster.isComplete) return new Map();
  const sorted = places.toSorted((a, b) => (a.endpointId < b.endpointId ? -1 : 1));
  return computeGuests(roster, sorted);
}
