/**
 * Finds the route of a request and chooses one of its target services.
 */
import type { Route, ServingConfiguration } from '../core';
import { hashText } from './hashText';

const HASH_RANGE = 2 ** 32;

/** Host without its port, in lower case. */
export function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/** Returns the host's route with the longest matching path prefix. */
export function findRoute(
  { routes }: Pick<ServingConfiguration, 'routes'>,
  host: string,
  target: string,
): Route | undefined {
  const normalizedHost = normalizeHost(host);
  const path = target.split('?', 1)[0] ?? target;
  return routes
    .filter(
      (route) => normalizeHost(route.host) === normalizedHost && path.startsWith(route.pathPrefix),
    )
    .reduce<Route | undefined>(
      (best, route) => (!best || route.pathPrefix.length > best.pathPrefix.length ? route : best),
      undefined,
    );
}

/** Chooses a service of the route by weight, always the same one for a request id. */
export function chooseService({ targets }: Route, requestId: string): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = (hashText(requestId) / HASH_RANGE) * total;
  const chosen = targets.find(({ weight }) => {
    remaining -= weight;
    return weight > 0 && remaining < 0;
  });
  return (chosen ?? targets.find(({ weight }) => weight > 0))?.service;
}
