/**
 * What the operator has signed for all customers together: routes, services, limits and keys.
 *
 * One value, replaced as a whole by a newer version. A clause is named by its path, such as
 * `routes.r-1.answerWithinMs`, in logs and in answers.
 */
import type { CustomerId } from './ids';

/** A service that a route leads to, with its share of the route's requests. @public */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** @public */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** `stream`: events are handed on as the engine makes them. */
  readonly delivery: 'whole' | 'stream';
  /** Whether a request may be run more than once. */
  readonly isRepeatable: boolean;
  /** Whether a new run may go on after the last event that was delivered. */
  readonly isResumable: boolean;
  /** Longest time that a request may take, from its arrival. */
  readonly answerWithinMs: number;
  /** Time to the answer, or to the first event, that counts as prompt. */
  readonly latencyGoalMs: number;
  /** 0 goes first. */
  readonly rank: number;
  /** Endpoints that one request may be sent to. */
  readonly maxEndpoints: number;
  readonly targets: ReadonlyArray<RouteTarget>;
  /** Whether a request needs no key. */
  readonly isAnonymous: boolean;
}

/** What the engines of a service can do. @public */
export interface EngineProfile {
  readonly memoryTokens: number;
  readonly canMigrate: boolean;
  readonly canBackUp: boolean;
  readonly tokensPerEvent: number;
}

/** @public */
export interface ServiceProfile {
  readonly name: string;
  /** Connections that one endpoint takes from all nodes together. */
  readonly maxConnections: number;
  /** Undefined for plain services. */
  readonly engine: EngineProfile | undefined;
}

/** Bounds on what a caller may send and how long it may take. @public */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The customer that holds a key. @public */
export interface KeyHolder {
  readonly customer: CustomerId;
  /** Goes before the rank of the route. */
  readonly rank: number | undefined;
}

/** @public */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: ReadonlyArray<Route>;
  readonly services: ReadonlyMap<string, ServiceProfile>;
  readonly limits: CallerLimits;
  /** By API key; undefined where requests carry no keys. */
  readonly keyHolders: ReadonlyMap<string, KeyHolder> | undefined;
}
