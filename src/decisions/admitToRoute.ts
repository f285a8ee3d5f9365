/**
 * Whether a request is served at all: its route, its key, and how sure the node is of both.
 */
import type { ErrorKind, KeyHolder, Route, ServingBounds, ServingConfiguration } from '../core';
import { findRoute } from './findRoute';

/** @public */
export interface RouteAdmissionView {
  readonly configuration: ServingConfiguration | undefined;
  /** Age of the newest proof that nothing newer was published. */
  readonly confirmedAgeMs: number;
  readonly bounds: ServingBounds;
  readonly host: string;
  readonly target: string;
  readonly apiKey: string | undefined;
}

/** @public */
export interface RouteAdmissionOptions {
  /** Subtracted from the time within which the removal of a key has to be known. */
  readonly confirmationMarginMs: number;
  readonly retryAfterMs: number;
  readonly otherNodeRetryAfterMs: number;
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
 * A node that isn't sure of its knowledge refuses with `not-run` and never says that a route or a
 * key is unknown: a newer configuration may have it.
 */
export function admitToRoute(
  view: RouteAdmissionView,
  options: RouteAdmissionOptions,
): RouteAdmission {
  const { configuration, confirmedAgeMs, bounds, apiKey } = view;
  if (!configuration) {
    const detail = 'No configuration has been learnt yet.';
    return refuse('not-ready', detail, undefined, options.retryAfterMs);
  }
  const maxAgeMs = bounds.revocationWithinMs - options.confirmationMarginMs;
  const isSure = confirmedAgeMs <= maxAgeMs;
  const age = Number.isFinite(confirmedAgeMs) ? `${Math.round(confirmedAgeMs)} ms` : 'unknown';
  const unsure = (): RouteAdmission =>
    refuse(
      'unconfirmed-configuration',
      `Version ${configuration.version} was last confirmed ${age} ago, allowed are ${maxAgeMs} ms.`,
      'bounds.revocationWithinMs',
      options.otherNodeRetryAfterMs,
    );
  const route = findRoute(configuration, view.host, view.target);
  if (!route) {
    return isSure ? refuse('unknown-path', 'No route begins this path.', 'routes') : unsure();
  }
  const isKeyed = configuration.keyHolders !== undefined && !route.isAnonymous;
  if (isKeyed && !isSure) return unsure();
  const holder = apiKey === undefined ? undefined : configuration.keyHolders?.get(apiKey);
  if (isKeyed && !holder) return refuse('unknown-key', 'No customer holds this key.', 'keys');
  return { outcome: 'admit', configuration, route, holder };
}
