/**
 * Messages by which a node that can't reach the source reads the published values from another.
 */
import { z } from 'zod';
import { endpointIdSchema } from '../../core';

const revisionSchema = z.number().min(0);

const valueSchema = z
  .object({ key: z.string(), text: z.string(), revision: revisionSchema })
  .readonly();

/** What the requesting node already has. @internal */
export const relayRequestSchema = z
  .object({
    /** 0 when it has none. */
    configurationVersion: z.number().min(0),
    /** Digest of its endpoints and their revisions. */
    endpointsDigest: z.number(),
  })
  .readonly();
export type RelayRequest = z.infer<typeof relayRequestSchema>;

const relayedEndpointSchema = z
  .object({
    endpointId: endpointIdSchema,
    /** Of the newest change known to the answering node, including a removal. */
    revision: revisionSchema,
    /** As it was published; absent when the endpoint leaves or has left. */
    value: valueSchema.optional(),
  })
  .readonly();

/** What the answering node has beyond that. @internal */
export const relayReplySchema = z
  .object({
    /** Age of its confirmation at the time of the answer; absent when that age is too high. */
    confirmedAgeMs: z.number().min(0).optional(),
    /** Revision up to which the answering node knows every change. */
    completeToRevision: revisionSchema,
    /** Absent unless it is newer than that of the requesting node. */
    configuration: valueSchema.optional(),
    /** All known endpoints; absent when the digests are equal. */
    endpoints: z.array(relayedEndpointSchema).readonly().optional(),
  })
  .readonly();
export type RelayReply = z.infer<typeof relayReplySchema>;
