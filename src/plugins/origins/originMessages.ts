/**
 * Messages in which nodes tell each other where streams began.
 */
import * as z from 'zod';
import { callerRequestIdSchema } from '../../core';

export const RECORD_MESSAGE = 'origins.record';
export const FIND_MESSAGE = 'origins.find';

/** Longest name of a service or a version that is taken from another node. */
const MAX_NAME_CHARS = 1_024;

const MAX_VERSIONS = 64;

const nameSchema = z.string().max(MAX_NAME_CHARS);

const originSchema = z.object({ service: nameSchema, softwareVersion: nameSchema }).readonly();

export const recordSchema = z
  .object({ firstRequestId: callerRequestIdSchema, origin: originSchema })
  .readonly();
export type OriginRecord = z.infer<typeof recordSchema>;

export const questionSchema = z
  .object({
    firstRequestId: callerRequestIdSchema.optional(),
    service: nameSchema,
    windowMs: z.number().min(0),
  })
  .readonly();

export const replySchema = z
  .object({
    origin: originSchema.optional(),
    /** Software versions that were listed within the window. */
    versions: z.array(nameSchema).max(MAX_VERSIONS).readonly(),
    coveredForMs: z.number().min(0),
    /** Age of the node's list; absent if it isn't confirmed. */
    listAgeMs: z.number().min(0).optional(),
  })
  .readonly();
export type OriginReply = z.infer<typeof replySchema>;
