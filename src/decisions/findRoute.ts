/**
 * Finds the route of a request and chooses one of its target services.
 */
import type { Route, ServingConfiguration, UnreadableRoute } from '../core';
import { hashText } from './hashText';

const HASH_RANGE = 2 ** 32;

/** Host without its port, in lower case. */
export function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/** Returns the host's entry with the longest matching path prefix. */
function findLongest<T extends Pick<Route, 'host' | 'pathPrefix'>>(
  entries: ReadonlyArray<T>,
  host: string,
  target: string,
): T | undefined {
  const normalizedHost = normalizeHost(host);
  const path = target.split('?', 1)[0] ?? target;
  return entries
    .filter(
      (entry) => normalizeHost(entry.host) === normalizedHost && path.startsWith(entry.pathPrefix),
    )
    .reduce<T | undefined>(
      (best, entry) => (!best || entry.pathPrefix.length > best.pathPrefix.length ? entry : best),
      undefined,
    );
}

/** Returns the host's route with the longest matching path prefix. */
export function findRoute(
  { routes }: Pick<ServingConfiguration, 'routes'>,
  host: string,
  target: string,
): Route | undefined {
  return findLongest(routes, host, target);
}

/** Returns the route that can't be read but would go before all that can. */
export function findUnreadableRoute(
  { routes, unreadable }: Pick<ServingConfiguration, 'routes' | 'unreadable'>,
  host: string,
  target: string,
): UnreadableRoute | undefined {
  // Nearly always; the search through all routes would be repeated for each request.
  if (unreadable.routes.length === 0) return undefined;
  const found = findLongest(unreadable.routes, host, target);
  const readable = findLongest(routes, host, target);
  const isBetter = (readable?.pathPrefix.length ?? -1) < (found?.pathPrefix.length ?? 0);
  return isBetter ? found : undefined;
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
