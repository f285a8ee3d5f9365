/**
 * Decodes the configuration that the operator publishes.
 *
 * Routes, services and tenants are read one by one: one that can't be read costs itself alone. What a
 * request needs to be recognised as its own is kept, so that it is refused as not run instead of being
 * taken for another one's or for unknown.
 */
import * as z from 'zod';
import {
  describeFault,
  publishedCustomerIdSchema,
  type AllowedRegions,
  type CallerLimits,
  type KeyHolder,
  type Route,
  type ServiceProfile,
  type ServingConfiguration,
  type UnreadableEntry,
  type UnreadableRoute,
} from '../core';

/**
 * Longest time that is taken from a configuration; longer ones count as this. A timer holds twice as
 * much, which leaves room for the factors that are applied to these times.
 */
const MAX_CONFIGURED_MS = 2 ** 30;

const durationSchema = z.number().transform((ms) => Math.min(ms, MAX_CONFIGURED_MS));

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  kind: z.enum(['safe', 'unsafe', 'streaming']),
  timeoutMs: durationSchema,
  latencyGoalMs: durationSchema.default(0),
  /** Longest pause between events with which a stream is on time. */
  gapTargetMs: durationSchema.default(0),
  priority: z.number().default(0),
  service: z.string().optional(),
  weightedServices: z.array(z.object({ service: z.string(), weight: z.number() })).optional(),
  maxAttempts: z.number().default(1),
  anonymous: z.boolean().default(false),
  streamResume: z.boolean().default(false),
  /** Empty without a constraint. */
  allowedRegions: z.array(z.string()).default([]),
});

/** Callers abandon a stream after the longest of these times without an event. */
const MIN_ABANDONED_AFTER_MS = 2_000;
const ABANDONED_AFTER_GOALS = 4;
const ABANDONED_AFTER_GAPS = 8;

function getAbandonedAfterMs({
  kind,
  latencyGoalMs,
  gapTargetMs,
}: z.infer<typeof routeSchema>): number {
  if (kind !== 'streaming') return Infinity;
  return Math.max(
    MIN_ABANDONED_AFTER_MS,
    latencyGoalMs * ABANDONED_AFTER_GOALS,
    gapTargetMs * ABANDONED_AFTER_GAPS,
  );
}

const engineSchema = z.object({
  kvCapacity: z.number(),
  moves: z.boolean().default(false),
  backups: z.boolean().default(false),
  /** Tokens per event. */
  stride: z.number().default(1),
});

const serviceSchema = z.object({
  name: z.string(),
  maxConnections: z.number(),
  engine: engineSchema.optional(),
  /** 0 without a limit. */
  coldPerS: z.number().min(0).default(0),
});

const limitsSchema = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: durationSchema,
  idleTimeoutMs: durationSchema,
});

const tenantSchema = z.object({
  name: publishedCustomerIdSchema,
  apiKeys: z.array(z.string()),
  priority: z.number().optional(),
  /** Empty without a constraint. */
  allowedRegions: z.array(z.string()).default([]),
});

/** Parts without which nothing of a version can be applied. */
const configurationSchema = z.object({
  version: z.number(),
  routes: z.array(z.unknown()),
  services: z.unknown(),
  limits: z.unknown(),
  tenants: z.array(z.unknown()).optional(),
});

/** What identifies the requests of a route whose other fields can't be read. */
const routePlaceSchema = z.object({ host: z.string(), prefix: z.string() });

/** What identifies the requests of a tenant whose other fields can't be read. */
const tenantKeysSchema = z.object({ apiKeys: z.array(z.unknown()) });

function toAllowedRegions(regions: ReadonlyArray<string>): AllowedRegions {
  return regions.length === 0 ? undefined : regions;
}

function toRoute(route: z.infer<typeof routeSchema>): Route {
  return {
    name: route.name,
    host: route.host,
    pathPrefix: route.prefix,
    delivery: route.kind === 'streaming' ? 'stream' : 'whole',
    isRepeatable: route.kind === 'safe' || (route.kind === 'streaming' && route.streamResume),
    isResumable: route.kind === 'streaming' && route.streamResume,
    answerWithinMs: route.timeoutMs,
    latencyGoalMs: route.latencyGoalMs,
    maxEventGapMs: route.gapTargetMs === 0 ? Infinity : route.gapTargetMs,
    abandonedAfterMs: getAbandonedAfterMs(route),
    rank: route.priority,
    maxEndpoints: route.maxAttempts,
    targets:
      route.weightedServices ??
      (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]),
    isAnonymous: route.anonymous,
    allowedRegions: toAllowedRegions(route.allowedRegions),
  };
}

function toService({
  name,
  maxConnections,
  engine,
  coldPerS,
}: z.infer<typeof serviceSchema>): ServiceProfile {
  return {
    name,
    maxConnections,
    engine: engine && {
      memoryTokens: engine.kvCapacity,
      canMigrate: engine.moves,
      canBackUp: engine.backups,
      tokensPerEvent: engine.stride,
    },
    coldRequestsPerSecond: coldPerS === 0 ? undefined : coldPerS,
  };
}

interface Section<T> {
  readonly entries: ReadonlyArray<T>;
  /** The raw entries that can't be read. */
  readonly odd: ReadonlyArray<unknown>;
  readonly unreadable: ReadonlyArray<UnreadableEntry>;
}

function readSection<S extends z.ZodType>(
  part: UnreadableEntry['part'],
  raw: ReadonlyArray<unknown>,
  schema: S,
): Section<z.output<S>> {
  const read = raw.map((entry) => ({ entry, result: schema.safeParse(entry) }));
  return {
    entries: read.flatMap(({ result }) => (result.success ? [result.data] : [])),
    odd: read.flatMap(({ entry, result }) => (result.success ? [] : [entry])),
    unreadable: read.flatMap(({ result }, index) =>
      result.success
        ? []
        : [{ part, path: `${part}.${index}`, reason: describeFault(result.error) }],
    ),
  };
}

function listUnreadableRoutes(odd: ReadonlyArray<unknown>): ReadonlyArray<UnreadableRoute> {
  return odd.flatMap((entry) => {
    const { data } = routePlaceSchema.safeParse(entry);
    return data ? [{ host: data.host, pathPrefix: data.prefix }] : [];
  });
}

function listUnreadableKeys(odd: ReadonlyArray<unknown>): ReadonlySet<string> {
  const keys = odd.flatMap((entry) => tenantKeysSchema.safeParse(entry).data?.apiKeys ?? []);
  return new Set(keys.filter((key) => typeof key === 'string'));
}

function toKeyHolders(
  tenants: ReadonlyArray<z.infer<typeof tenantSchema>>,
): ReadonlyMap<string, KeyHolder> {
  return new Map(
    tenants.flatMap(({ name, apiKeys, priority, allowedRegions }) => {
      const holder = {
        customer: name,
        rank: priority,
        allowedRegions: toAllowedRegions(allowedRegions),
      };
      return apiKeys.map((key): [string, KeyHolder] => [key, holder]);
    }),
  );
}

/** @throws ZodError, SyntaxError when nothing of the version can be applied. */
export function decodeConfiguration(text: string): ServingConfiguration {
  const decoded = configurationSchema.parse(JSON.parse(text));
  const rawServices = Array.isArray(decoded.services) ? decoded.services : [decoded.services];
  const routes = readSection('routes', decoded.routes, routeSchema);
  const services = readSection('services', rawServices, serviceSchema);
  const tenants = readSection('tenants', decoded.tenants ?? [], tenantSchema);
  const limits = readSection('limits', [decoded.limits], limitsSchema);
  const [readLimits]: ReadonlyArray<CallerLimits> = limits.entries;
  return {
    version: decoded.version,
    routes: routes.entries.map(toRoute),
    services: new Map(services.entries.map((service) => [service.name, toService(service)])),
    limits: readLimits,
    keyHolders: decoded.tenants && toKeyHolders(tenants.entries),
    unreadable: {
      entries: [routes, services, tenants, limits].flatMap(({ unreadable }) => unreadable),
      routes: listUnreadableRoutes(routes.odd),
      keys: listUnreadableKeys(tenants.odd),
    },
  };
}
