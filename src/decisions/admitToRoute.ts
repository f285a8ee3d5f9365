/**
 * Admits a request by its route and API key, if the node's configuration is recent enough.
 */
import type { ErrorKind, KeyHolder, Route, ServingBounds, ServingConfiguration } from '../core';
import { findRoute, findUnreadableRoute } from './findRoute';
import { checkRegions, combineRegions } from './regions';

/** @public */
export interface RouteAdmissionView {
  readonly configuration: ServingConfiguration | undefined;
  /** Time since the configuration was last confirmed to be current. */
  readonly confirmedAgeMs: number;
  readonly bounds: ServingBounds;
  readonly host: string;
  readonly target: string;
  readonly apiKey: string | undefined;
  /** Regions that the settings contain. */
  readonly knownRegions: ReadonlySet<string>;
}

/** @public */
export interface RouteAdmissionOptions {
  /** Subtracted from the time within which the removal of a key must take effect. */
  readonly confirmationMarginMs: number;
  readonly retryAfterMs: number;
  readonly otherNodeRetryAfterMs: number;
  /** For requests that need an entry of the configuration that can't be read. */
  readonly unreadableRetryAfterMs: number;
}

/** @public */
export type RouteAdmission =
  | {
      readonly outcome: 'admit';
      readonly configuration: ServingConfiguration;
      readonly route: Route;
      readonly holder: KeyHolder | undefined;
    }
  | {
      readonly outcome: 'refuse';
      readonly kind: ErrorKind;
      readonly detail: string;
      readonly clause: string | undefined;
      readonly retryAfterMs: number | undefined;
    };

function refuse(
  kind: ErrorKind,
  detail: string,
  clause?: string,
  retryAfterMs?: number,
): RouteAdmission {
  return { outcome: 'refuse', kind, detail, clause, retryAfterMs };
}

/**
 * While its configuration is unconfirmed, a node refuses with `not-run` and never reports a route
 * or key as unknown, because a newer configuration may contain it.
 */
export function admitToRoute(
  view: RouteAdmissionView,
  options: RouteAdmissionOptions,
): RouteAdmission {
  const { configuration, confirmedAgeMs, bounds, apiKey } = view;
  if (!configuration) {
    const detail = 'No configuration has been received yet.';
    return refuse('not-ready', detail, undefined, options.retryAfterMs);
  }
  const maxAgeMs = bounds.revocationWithinMs - options.confirmationMarginMs;
  const isConfirmed = confirmedAgeMs <= maxAgeMs;
  const age = Number.isFinite(confirmedAgeMs) ? `${Math.round(confirmedAgeMs)} ms` : 'unknown';
  const refuseUnconfirmed = (): RouteAdmission =>
    refuse(
      'unconfirmed-configuration',
      `Version ${configuration.version} was last confirmed ${age} ago; the maximum is ${maxAgeMs} ms.`,
      'bounds.revocationWithinMs',
      options.otherNodeRetryAfterMs,
    );
  const refuseUnreadable = (detail: string, clause: string): RouteAdmission =>
    refuse('unreadable-entry', detail, clause, options.unreadableRetryAfterMs);
  if (findUnreadableRoute(configuration, view.host, view.target)) {
    return refuseUnreadable('The route of this path is not readable.', 'routes');
  }
  const route = findRoute(configuration, view.host, view.target);
  if (!route) {
    return isConfirmed
      ? refuse('unknown-path', 'No route matches this path.', 'routes')
      : refuseUnconfirmed();
  }
  const requiresKey = configuration.keyHolders !== undefined && !route.isAnonymous;
  if (requiresKey && !isConfirmed) return refuseUnconfirmed();
  const holder = apiKey === undefined ? undefined : configuration.keyHolders?.get(apiKey);
  if (requiresKey && !holder && configuration.unreadable.keys.has(apiKey ?? '')) {
    return refuseUnreadable(
      'The entry of the customer that holds this key is not readable.',
      'keys',
    );
  }
  if (requiresKey && !holder) return refuse('unknown-key', 'No customer holds this key.', 'keys');
  const regions = checkRegions(combineRegions(route, holder), view.knownRegions);
  if (regions.outcome === 'refuse') {
    const { detail, clause } = regions;
    return refuse('no-allowed-region', detail, clause, options.unreadableRetryAfterMs);
  }
  return { outcome: 'admit', configuration, route, holder };
}
