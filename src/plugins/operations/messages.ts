/**
 * Messages between nodes about operations. A refusal is a regular reply too, because an error reply
 * doesn't show what the peer did.
 */
import * as z from 'zod';
import { incarnationSchema, operationIdSchema, requestIdSchema } from '../../core';
import { bytesSchema, storedOutcomeSchema, reservationSchema } from '../../decisions';

/** @internal */
export const serviceCallSchema = z
  .object({
    method: z.string(),
    path: z.string().startsWith('/'),
    headers: z.record(z.string(), z.string()).readonly(),
    body: bytesSchema,
  })
  .readonly();

/** `operation.run`: asks the owner to run a call or to return its stored outcome. @internal */
export const runRequestSchema = z
  .object({
    key: z.string(),
    kindOfWork: z.string(),
    call: serviceCallSchema,
    requestId: requestIdSchema,
    remainingMs: z.number(),
  })
  .readonly();
export type RunRequest = z.infer<typeof runRequestSchema>;

/** Result of one call that used a key. @internal */
export const operationResultSchema = z.discriminatedUnion('state', [
  ...storedOutcomeSchema.options,
  z.object({ state: z.literal('reused'), detail: z.string() }).readonly(),
  z.object({ state: z.literal('elsewhere'), detail: z.string() }).readonly(),
]);
export type OperationResult = z.infer<typeof operationResultSchema>;

/** `operation.reserve`. @internal */
export const reserveRequestSchema = z.object({ remainingMs: z.number().min(0) }).readonly();

export const reserveReplySchema = z
  .object({
    /** Absent when the witness refused, because its table is full or it isn't serving. */
    reservation: z
      .object({ incarnation: incarnationSchema, reservationId: operationIdSchema })
      .readonly()
      .optional(),
  })
  .readonly();

/** `operation.grant` and `operation.close`. @internal */
export const reservedCallSchema = z
  .object({ reservation: reservationSchema, fingerprint: z.string() })
  .readonly();

export const grantReplySchema = z.object({ granted: z.boolean(), reason: z.string() }).readonly();

export const closeReplySchema = z.discriminatedUnion('verdict', [
  z.object({ verdict: z.literal('closed'), reason: z.string() }).readonly(),
  z.object({ verdict: z.literal('ended'), outcome: storedOutcomeSchema }).readonly(),
  z.object({ verdict: z.literal('reused'), reason: z.string() }).readonly(),
  z.object({ verdict: z.literal('unknown'), reason: z.string() }).readonly(),
]);

/** `operation.outcome`: the owner reports the outcome of an operation. @internal */
export const outcomeReportSchema = z
  .object({
    reservation: reservationSchema,
    fingerprint: z.string().optional(),
    outcome: storedOutcomeSchema,
  })
  .readonly();

export const outcomeReplySchema = z.object({ kept: z.boolean() }).readonly();

/** `operation.find`: asks the owner or a witness of a ticket for its state. @internal */
export const findRequestSchema = z.object({ key: z.string() }).readonly();

export const findReplySchema = z.discriminatedUnion('state', [
  z.object({ state: z.enum(['open', 'running', 'closed', 'unknown', 'elsewhere']) }).readonly(),
  z.object({ state: z.literal('ended'), outcome: storedOutcomeSchema }).readonly(),
]);
export type FindReply = z.infer<typeof findReplySchema>;
