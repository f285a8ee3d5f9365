/**
 * Error for new work on a node that is shutting down, with the addresses of other nodes.
 */
import { ServingError } from '../core';
import type { Fleet } from '../services';

/** @public */
export function createDrainingError(fleet: Fleet): ServingError {
  const urls = fleet
    .listNodes()
    .filter(({ vm }) => vm.vmId !== fleet.self.vmId && vm.state === 'live')
    .filter(({ state }) => state !== 'draining' && state !== 'starting')
    .map(({ vm }) => vm.url);
  return new ServingError('draining', {
    detail:
      urls.length > 0
        ? `The node is shutting down; other addresses: ${urls.join(', ')}.`
        : 'The node is shutting down and knows no other address.',
    headers: urls.length > 0 ? { 'x-entry-addresses': urls.join(', ') } : {},
  });
}
