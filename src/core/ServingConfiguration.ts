/**
 * The terms that the operator has signed for all customers: routes, services, limits and keys.
 *
 * The configuration is one value that a newer version replaces as a whole. Logs and responses
 * identify a clause by its path, such as `routes.r-1.answerWithinMs`.
 */
import type { CustomerId } from './ids';

/**
 * Names of the regions in which requests may be served, cached and stored; undefined without a
 * constraint.
 * @public
 */
export type AllowedRegions = ReadonlyArray<string> | undefined;

/** A destination of a route, with its relative weight among the route's destinations. @public */
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
  /** `stream`: events are forwarded as the engine produces them. */
  readonly delivery: 'whole' | 'stream';
  /** Whether a request may be executed more than once. */
  readonly isRepeatable: boolean;
  /** Whether a new run may continue after the last delivered event. */
  readonly isResumable: boolean;
  /** Time limit for a request, from its arrival. */
  readonly answerWithinMs: number;
  /** Goal for the time to the response, or to the first event of a stream. */
  readonly latencyGoalMs: number;
  /** Longest pause between events with which a stream is on time; unlimited for other responses. */
  readonly maxEventGapMs: number;
  /** Time without an event after which callers abandon a stream; unlimited for other responses. */
  readonly abandonedAfterMs: number;
  /** Scheduling priority; 0 is the highest. */
  readonly rank: number;
  /** Maximum number of endpoints to which one request may be sent. */
  readonly maxEndpoints: number;
  readonly targets: ReadonlyArray<RouteTarget>;
  /** Whether a request needs no key. */
  readonly isAnonymous: boolean;
  readonly allowedRegions: AllowedRegions;
}

/** Capabilities of the engines of a service. @public */
export interface EngineProfile {
  /** Capacity of the KV cache of one engine. */
  readonly memoryTokens: number;
  /** Whether a run can be migrated to another engine. */
  readonly canMigrate: boolean;
  /** Whether the KV cache of a run can be replicated to another engine while it grows. */
  readonly canBackUp: boolean;
  readonly tokensPerEvent: number;
}

/** @public */
export interface ServiceProfile {
  readonly name: string;
  /** Maximum number of connections to one endpoint from all nodes together. */
  readonly maxConnections: number;
  /** Undefined for plain services. */
  readonly engine: EngineProfile | undefined;
  /**
   * Requests per second that an endpoint tolerates from all nodes together while it warms up;
   * undefined without a limit.
   */
  readonly coldRequestsPerSecond: number | undefined;
}

/** Size and time limits for what a caller sends. @public */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The customer that an API key belongs to. @public */
export interface KeyHolder {
  readonly customer: CustomerId;
  /** Overrides the rank of the route. */
  readonly rank: number | undefined;
  /** Binds in addition to the regions of the route. */
  readonly allowedRegions: AllowedRegions;
}

/** An entry of a version that can't be read, and so isn't in force. @public */
export interface UnreadableEntry {
  readonly part: 'routes' | 'services' | 'tenants' | 'limits';
  /** Part and index of the entry. */
  readonly path: string;
  readonly reason: string;
}

/** The requests of a route whose terms can't be read. @public */
export type UnreadableRoute = Pick<Route, 'host' | 'pathPrefix'>;

/** What of a version can't be read. @public */
export interface UnreadableParts {
  readonly entries: ReadonlyArray<UnreadableEntry>;
  /** Requests with these paths are refused as not run, unless another route fits them better. */
  readonly routes: ReadonlyArray<UnreadableRoute>;
  /** Keys of customers whose entries can't be read; requests with one are refused as not run. */
  readonly keys: ReadonlySet<string>;
}

export const NOTHING_UNREADABLE: UnreadableParts = { entries: [], routes: [], keys: new Set() };

/** @public */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: ReadonlyArray<Route>;
  readonly services: ReadonlyMap<string, ServiceProfile>;
  /** Undefined when they can't be read; those in force before then stay. */
  readonly limits: CallerLimits | undefined;
  /** By API key; undefined where requests carry no keys. */
  readonly keyHolders: ReadonlyMap<string, KeyHolder> | undefined;
  readonly unreadable: UnreadableParts;
}
