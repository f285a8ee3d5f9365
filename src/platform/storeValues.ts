/**
 * Decodes entries of endpoints in the platform's metadata store into the system's types.
 */
import { isIPv4 } from 'node:net';
import * as z from 'zod';
import { endpointIdSchema, type BackEnd, type EndpointId } from '../core';

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
  /** Of the endpoint's software; some writers put a number. */
  version: z.union([nameSchema, z.number().transform(String)]).optional(),
  slots: z.number().min(1).max(MAX_SLOTS),
  state: z.enum(['ready', 'draining']),
  coldRemainingMs: z.number().max(MAX_DELAY_MS).default(0),
  /** Unix time at which the endpoint started. */
  born: z.int().min(0).max(MAX_UNIX_MS).default(0),
});

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
    softwareVersion: decoded.version,
    slots: decoded.slots,
    isLeaving: decoded.state === 'draining',
    warmUpMs: Math.max(0, decoded.coldRemainingMs),
    startedAtWallMs: decoded.born,
  };
  return { backEnd, text: JSON.stringify(decoded) };
}
