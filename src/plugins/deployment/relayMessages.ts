/**
 * Messages by which a node that can't reach the source learns from another what was published.
 */
import { z } from 'zod';
import { endpointIdSchema } from '../../core';

const revisionSchema = z.number().min(0);

const valueSchema = z
  .object({ key: z.string(), text: z.string(), revision: revisionSchema })
  .readonly();

/** What the asking node knows already. @internal */
export const relayRequestSchema = z
  .object({
    /** 0 when it knows none. */
    configurationVersion: z.number().min(0),
    /** Of its endpoints and their states. */
    endpointsDigest: z.number(),
  })
  .readonly();
export type RelayRequest = z.infer<typeof relayRequestSchema>;

const relayedEndpointSchema = z
  .object({
    endpointId: endpointIdSchema,
    /** Of the newest change that the answering node knows, also of a removal. */
    revision: revisionSchema,
    /** As it was published; absent when the endpoint leaves or has left. */
    value: valueSchema.optional(),
  })
  .readonly();

/** What the answering node knows besides. @internal */
export const relayReplySchema = z
  .object({
    /** Age of its confirmation when it answered; absent when it can't vouch for anything. */
    confirmedAgeMs: z.number().min(0).optional(),
    /** Revision up to which the answering node knows every change. */
    completeToRevision: revisionSchema,
    /** Absent unless it is newer than the asker's. */
    configuration: valueSchema.optional(),
    /** All endpoints that are known; absent when the digests are equal. */
    endpoints: z.array(relayedEndpointSchema).readonly().optional(),
  })
  .readonly();
export type RelayReply = z.infer<typeof relayReplySchema>;
