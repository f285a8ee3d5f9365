/**
 * Messages by which a node reads the published values from another node instead of the source.
 */
import * as z from 'zod';
import { endpointIdSchema } from '../../core';

/** Longest wait that a node may ask for. */
const MAX_WAIT_MS = 5_000;

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
    /** How long the answer may wait for a change. */
    waitMs: z.number().min(0).max(MAX_WAIT_MS).default(0),
  })
  .readonly();
export type RelayRequest = z.output<typeof relayRequestSchema>;

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
