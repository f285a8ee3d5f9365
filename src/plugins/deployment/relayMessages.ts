/**
 * Messages by which a node reads the published values from another node instead of the source.
 */
import * as z from 'zod';
import { endpointIdSchema } from '../../core';

/** Longest wait that a node may ask for. */
const MAX_WAIT_MS = 5_000;

const revisionSchema = z.int().min(0);

/** A published value, as another node has received it. @internal */
export const relayedValueSchema = z
  .object({ key: z.string(), text: z.string(), revision: revisionSchema })
  .readonly();

/** What the requesting node already has. @internal */
export const relayRequestSchema = z
  .object({
    /** 0 when it has none. */
    configurationVersion: z.number().min(0),
    /** Digest of its endpoints and their revisions. */
    endpointsDigest: z.number(),
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
    revision: revisionSchema,
    /** As it was published; absent when the endpoint leaves or has left. */
    value: relayedValueSchema.optional(),
  })
  .readonly();

/** What names the endpoint of an item, also of one that can't be read otherwise. @internal */
export const relayedEndpointIdSchema = z.object({ endpointId: endpointIdSchema });

const relayReplySchema = z.object({
  /** Age of its confirmation at the time of the answer; absent when that age is too high. */
  confirmedAgeMs: z.number().min(0).optional(),
  /** Revision up to which the answering node knows every change. */
  completeToRevision: revisionSchema,
  /** Absent unless it is newer than that of the requesting node. */
  configuration: relayedValueSchema.optional(),
  /** All known endpoints; absent when the digests are equal. */
  endpoints: z.array(relayedEndpointSchema).readonly().optional(),
});

/** What the answering node has beyond that. @internal */
export type RelayReply = Readonly<z.infer<typeof relayReplySchema>>;

/**
 * The same as received. Values are read one by one, so that one that can't be read leaves the others
 * as they are. @internal
 */
export const receivedReplySchema = relayReplySchema
  .extend({ configuration: z.unknown(), endpoints: z.array(z.unknown()).readonly().optional() })
  .readonly();
export type ReceivedReply = z.infer<typeof receivedReplySchema>;
