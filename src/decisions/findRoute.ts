/**
 * The route of a request and the endpoints' service that it leads to.
 */
import type { Route, ServingConfiguration } from '../core';
import { hashText } from './hashText';

const HASH_RANGE = 2 ** 32;

/** Host without its port, in lower case. */
export function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/** The route of the host whose prefix is the longest that begins the path. */
export function findRoute(
  { routes }: Pick<ServingConfiguration, 'routes'>,
  host: string,
  target: string,
): Route | undefined {
  const wanted = normalizeHost(host);
  const path = target.split('?', 1)[0] ?? target;
  return routes
    .filter((route) => normalizeHost(route.host) === wanted && path.startsWith(route.pathPrefix))
    .reduce<Route | undefined>(
      (best, route) => (!best || route.pathPrefix.length > best.pathPrefix.length ? route : best),
      undefined,
    );
}

/** Chooses among the services of a route by weight; the same request gets the same service. */
export function chooseService({ targets }: Route, requestId: string): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = (hashText(requestId) / HASH_RANGE) * total;
  const chosen = targets.find(({ weight }) => {
    left -= weight;
    return weight > 0 && left < 0;
  });
  return (chosen ?? targets.find(({ weight }) => weight > 0))?.service;
}
