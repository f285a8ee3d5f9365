/**
 * Decides in which regions a request may be served, cached and stored.
 *
 * Route and customer may each name regions; where both do, only those that both name are left. A
 * constraint never widens: one that can't be read, or that names no region of the deployment, leaves
 * none.
 */
import type { AllowedRegions, CustomerId, KeyHolder, Route, ServingConfiguration } from '../core';

/** @public */
export interface RegionTerms {
  /** Undefined without a constraint; empty when no region is left. */
  readonly allowed: AllowedRegions;
  /** Clauses of the constraint; undefined without one. */
  readonly clause: string | undefined;
}

/** @public */
export type RegionVerdict =
  | { readonly outcome: 'admit' }
  | { readonly outcome: 'refuse'; readonly detail: string; readonly clause: string };

/** What identifies the terms of a request that was admitted earlier. @public */
export interface TermsKey {
  /** In force when the request was admitted. */
  readonly configuration: ServingConfiguration;
  readonly routeName: string;
  readonly customer: CustomerId | undefined;
}

/** Endpoints of a service that aren't leaving, of which a request may use none. @public */
export interface UnusableEndpoints {
  /** Those in regions that the request may use. */
  readonly inAllowedRegions: number;
  /** Those in other regions. */
  readonly elsewhere: number;
}

interface RegionIndex {
  readonly routes: ReadonlyMap<string, Route>;
  readonly customers: ReadonlyMap<CustomerId, AllowedRegions>;
  readonly hasConstraint: boolean;
}

const UNCONSTRAINED: RegionTerms = { allowed: undefined, clause: undefined };

const indexes = new WeakMap<ServingConfiguration, RegionIndex>();

function intersect(a: AllowedRegions, b: AllowedRegions): AllowedRegions {
  if (!a || !b) return a ?? b;
  return a.filter((region) => b.includes(region));
}

function createIndex({ routes, keyHolders }: ServingConfiguration): RegionIndex {
  const routesByName = new Map<string, Route>();
  routes.forEach((route) => {
    const same = routesByName.get(route.name);
    const allowedRegions = intersect(same?.allowedRegions, route.allowedRegions);
    routesByName.set(route.name, { ...route, allowedRegions });
  });
  const customers = new Map<CustomerId, AllowedRegions>();
  keyHolders?.forEach(({ customer, allowedRegions }) =>
    customers.set(customer, intersect(customers.get(customer), allowedRegions)),
  );
  const hasConstraint = [...routesByName.values()]
    .map(({ allowedRegions }) => allowedRegions)
    .concat([...customers.values()])
    .some((allowedRegions) => allowedRegions !== undefined);
  return { routes: routesByName, customers, hasConstraint };
}

/** Built once for each version. */
function getIndex(configuration: ServingConfiguration): RegionIndex {
  const known = indexes.get(configuration);
  if (known) return known;
  const index = createIndex(configuration);
  indexes.set(configuration, index);
  return index;
}

/** Whether any route or customer of a configuration names regions. */
export function hasRegionConstraint(configuration: ServingConfiguration): boolean {
  return getIndex(configuration).hasConstraint;
}

export function combineRegions(
  route: Pick<Route, 'name' | 'allowedRegions'>,
  holder: Pick<KeyHolder, 'customer' | 'allowedRegions'> | undefined,
): RegionTerms {
  const allowed = intersect(route.allowedRegions, holder?.allowedRegions);
  if (!allowed) return UNCONSTRAINED;
  const clauses = [
    ...(route.allowedRegions ? [`routes.${route.name}.allowedRegions`] : []),
    ...(holder?.allowedRegions ? [`customers.${holder.customer}.allowedRegions`] : []),
  ];
  return { allowed, clause: clauses.join(', ') };
}

/** Whether a newer version contains the entry of a route or of its customer, but can't read it. */
function findUnreadable(
  { unreadable, routes, keyHolders }: ServingConfiguration,
  { configuration, customer }: TermsKey,
  route: Route | undefined,
): RegionTerms | undefined {
  if (unreadable.entries.length === 0) return undefined;
  const isSame = ({ host, pathPrefix }: Pick<Route, 'host' | 'pathPrefix'>): boolean =>
    host === route?.host && pathPrefix === route.pathPrefix;
  if (unreadable.routes.some(isSame) && !routes.some(isSame)) {
    return { allowed: [], clause: 'routes' };
  }
  const isKnown = [...(keyHolders?.values() ?? [])].some((each) => each.customer === customer);
  const hasUnreadableKey = [...(configuration.keyHolders ?? [])].some(
    ([key, holder]) => holder.customer === customer && unreadable.keys.has(key),
  );
  return !isKnown && hasUnreadableKey ? { allowed: [], clause: 'keys' } : undefined;
}

/**
 * Returns the terms of a request in the configuration in force, which may be newer than the one that
 * admitted it. A route or customer that was removed since keeps its last terms.
 */
export function findRegionTerms(
  inForce: ServingConfiguration | undefined,
  key: TermsKey,
): RegionTerms {
  const newest = inForce ?? key.configuration;
  const before = getIndex(key.configuration);
  const now = getIndex(newest);
  const routeBefore = before.routes.get(key.routeName);
  const unreadable =
    newest === key.configuration ? undefined : findUnreadable(newest, key, routeBefore);
  if (unreadable) return unreadable;
  if (!before.hasConstraint && !now.hasConstraint) return UNCONSTRAINED;
  const route = now.routes.get(key.routeName) ?? routeBefore;
  const { customer } = key;
  const customers = customer !== undefined && now.customers.has(customer) ? now : before;
  const holder = customer === undefined ? undefined : customers.customers.get(customer);
  return combineRegions(
    { name: key.routeName, allowedRegions: route?.allowedRegions },
    customer === undefined ? undefined : { customer, allowedRegions: holder },
  );
}

/** @param knownRegions those that the deployment's settings contain. */
export function checkRegions(
  { allowed, clause = '' }: RegionTerms,
  knownRegions: ReadonlySet<string>,
): RegionVerdict {
  if (!allowed) return { outcome: 'admit' };
  if (allowed.length === 0) {
    const detail = 'The route and its customer allow no region in common.';
    return { outcome: 'refuse', detail, clause };
  }
  if (allowed.some((region) => knownRegions.has(region))) return { outcome: 'admit' };
  const detail = `The settings contain none of the allowed regions: ${allowed.join(', ')}.`;
  return { outcome: 'refuse', detail, clause };
}

/** @param region of the endpoint's data centre; undefined if the settings don't contain it. */
export function mayUseRegion({ allowed }: RegionTerms, region: string | undefined): boolean {
  return !allowed || (region !== undefined && allowed.includes(region));
}

/**
 * Explains why a request may use none of the endpoints in service; undefined if there is none.
 * Endpoints in allowed regions are unusable only because their data centres are evacuated.
 */
export function explainUnusable(
  { allowed }: RegionTerms,
  { inAllowedRegions, elsewhere }: UnusableEndpoints,
): string | undefined {
  const where = allowed ? ` in the allowed regions (${allowed.join(', ') || 'none'})` : '';
  if (inAllowedRegions > 0) {
    return `the data centres of all endpoints of the service${where} are evacuated`;
  }
  return elsewhere > 0 ? `no endpoint of the service is${where}` : undefined;
}
