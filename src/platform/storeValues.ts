/**
 * Decodes values of the platform's metadata store into the system's types.
 */
import { isIPv4 } from 'node:net';
import * as z from 'zod';
import {
  endpointIdSchema,
  publishedCustomerIdSchema,
  type BackEnd,
  type EndpointId,
  type KeyHolder,
  type Route,
  type ServiceProfile,
  type ServingConfiguration,
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
  priority: z.number().default(0),
  service: z.string().optional(),
  weightedServices: z.array(z.object({ service: z.string(), weight: z.number() })).optional(),
  maxAttempts: z.number().default(1),
  anonymous: z.boolean().default(false),
  streamResume: z.boolean().default(false),
});

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
});

const configurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: z.object({
    maxHeaderBytes: z.number(),
    maxBodyBytes: z.number(),
    headerTimeoutMs: durationSchema,
    idleTimeoutMs: durationSchema,
  }),
  tenants: z
    .array(
      z.object({
        name: publishedCustomerIdSchema,
        apiKeys: z.array(z.string()),
        priority: z.number().optional(),
      }),
    )
    .optional(),
});

const MAX_PORT = 65_535;

/** One node can't open more connections than this to one address. */
const MAX_SLOTS = 65_535;

/** Longest delay that a timer holds. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** Latest time that a `Date` holds. */
const MAX_UNIX_MS = 8_640_000_000_000_000;

/** Names come into log lines and into what nodes relay. */
const MAX_NAME_CHARS = 1_024;

const nameSchema = z.string().max(MAX_NAME_CHARS);

/** Takes no leading zeros, with which a URL reads a number as octal. */
function isAddress(address: string): boolean {
  const [host = '', port = '', ...rest] = address.split(':');
  return isIPv4(host) && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= MAX_PORT && !rest.length;
}

const endpointSchema = z.object({
  service: nameSchema,
  address: z.string().refine(isAddress, 'is not an IPv4 address with a port'),
  zone: nameSchema,
  slots: z.number().min(1).max(MAX_SLOTS),
  state: z.enum(['ready', 'draining']),
  coldRemainingMs: z.number().max(MAX_DELAY_MS).default(0),
  /** Unix time at which the endpoint started. */
  born: z.int().min(0).max(MAX_UNIX_MS).default(0),
});

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
    rank: route.priority,
    maxEndpoints: route.maxAttempts,
    targets:
      route.weightedServices ??
      (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]),
    isAnonymous: route.anonymous,
  };
}

function toService({
  name,
  maxConnections,
  engine,
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
  };
}

/** @throws ZodError, SyntaxError. */
export function decodeConfiguration(text: string): ServingConfiguration {
  const decoded = configurationSchema.parse(JSON.parse(text));
  const keyHolderEntries = decoded.tenants?.flatMap(({ name, apiKeys, priority }) =>
    apiKeys.map((key): [string, KeyHolder] => [key, { customer: name, rank: priority }]),
  );
  return {
    version: decoded.version,
    routes: decoded.routes.map(toRoute),
    services: new Map(decoded.services.map((service) => [service.name, toService(service)])),
    limits: decoded.limits,
    keyHolders: keyHolderEntries && new Map(keyHolderEntries),
  };
}

export function isEndpointId(id: string): id is EndpointId {
  return endpointIdSchema.safeParse(id).success;
}

export interface DecodedEndpoint {
  readonly backEnd: BackEnd;
  /** The entry without fields that are not used; an unknown field may be of any size. */
  readonly text: string;
}

/** @throws ZodError, SyntaxError. */
export function decodeEndpoint(id: string, entryText: string): DecodedEndpoint {
  const decoded = endpointSchema.parse(JSON.parse(entryText));
  const backEnd = {
    endpointId: endpointIdSchema.parse(id),
    service: decoded.service,
    address: decoded.address,
    dataCentre: decoded.zone,
    slots: decoded.slots,
    isLeaving: decoded.state === 'draining',
    warmUpMs: Math.max(0, decoded.coldRemainingMs),
    startedAtWallMs: decoded.born,
  };
  return { backEnd, text: JSON.stringify(decoded) };
}
