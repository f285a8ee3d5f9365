/**
 * Messages by which a node reads the published values from another node instead of the source.
 */
import * as z from 'zod';
import { endpointIdSchema } from '../../core';

/** Longest wait that a node may ask for. */
const MAX_WAIT_MS = 5_000;

/** Longest name of a data centre. */
const MAX_NAME_CHARS = 1_024;

const eraSchema = z.int().min(0);

/** @internal */
export const positionSchema = z.object({ era: eraSchema, revision: z.int().min(0) }).readonly();

/** A published value, as another node has received it. @internal */
export const relayedValueSchema = z
  .object({ key: z.string(), text: z.string(), position: positionSchema })
  .readonly();

/** What the requesting node already has. @internal */
export const relayRequestSchema = z
  .object({
    /** 0 when it has none. */
    configurationVersion: z.number().min(0),
    /** Highest era of the source that it has heard of. */
    newestEra: eraSchema,
    /** Digest of its endpoints and the positions of their last changes. */
    endpointsDigest: z.number(),
    /** Digest of the evacuations that it knows; absent from nodes of earlier releases. */
    evacuationsDigest: z.number().optional(),
    /** How long the answer may wait for a change. */
    waitMs: z.number().min(0).max(MAX_WAIT_MS).default(0),
  })
  .readonly();
export type RelayRequest = z.output<typeof relayRequestSchema>;

/** @internal */
export const relayedEndpointSchema = z
  .object({
    endpointId: endpointIdSchema,
    /** Of the newest change known to the answering node, including a removal. */
    position: positionSchema,
    /** Start of its process, by which a departure is told from a new registration. */
    startedAtWallMs: z.number(),
    /** As it was published; absent when the endpoint leaves or has left. */
    value: relayedValueSchema.optional(),
  })
  .readonly();

/** What names the endpoint of an item, also of one that can't be read otherwise. @internal */
export const relayedEndpointIdSchema = z.object({ endpointId: endpointIdSchema });

export type RelayedEndpoint = z.infer<typeof relayedEndpointSchema>;

/** @internal */
export const relayedEvacuationSchema = z
  .object({
    dataCentre: z.string().max(MAX_NAME_CHARS),
    isEvacuated: z.boolean(),
    position: positionSchema,
  })
  .readonly();

const relayReplySchema = z.object({
  /** Age of its confirmation at the time of the answer; absent when that age is too high. */
  confirmedAgeMs: z.number().min(0).optional(),
  /** Age at that time of the proof that its configuration is current; absent without one. */
  configurationAgeMs: z.number().min(0).optional(),
  /** Highest era of the source that the answering node has heard of. */
  newestEra: eraSchema,
  /** Position up to which it knows every change. */
  completeTo: positionSchema,
  /** Lowest position that was seen in the newest era. */
  eraStart: positionSchema,
  /** Absent unless it is newer than that of the requesting node. */
  configuration: relayedValueSchema.optional(),
  /** All known endpoints; absent when the digests are equal. */
  endpoints: z.array(relayedEndpointSchema).readonly().optional(),
  /** All known orders and takebacks; absent from nodes of earlier releases. */
  evacuations: z.array(relayedEvacuationSchema).readonly().optional(),
});

/** What the answering node has beyond that. @internal */
export type RelayReply = Readonly<z.infer<typeof relayReplySchema>>;

/**
 * The same as received. Values are read one by one, so that one that can't be read leaves the others
 * as they are. @internal
 */
export const receivedReplySchema = relayReplySchema
  .extend({
    configuration: z.unknown().optional(),
    endpoints: z.array(z.unknown()).readonly().optional(),
    evacuations: z.array(z.unknown()).readonly().optional(),
  })
  .readonly();
export type ReceivedReply = z.infer<typeof receivedReplySchema>;
