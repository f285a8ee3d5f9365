/**
 * A decision about a request, with its reason.
 *
 * The decisions about a request explain why it waited, slowed down or was refused. Each one names
 * the contract clause that it is based on and the state that was measured.
 */
import * as z from 'zod';
import { customerIdSchema, requestIdSchema } from './ids';

/** @public */
export const decisionSchema = z
  .object({
    requestId: requestIdSchema,
    customer: customerIdSchema.optional(),
    kindOfWork: z.string().optional(),
    contractRevision: z.number().optional(),
    /** Path of the clause, such as `limits.concurrentGenerations`. */
    clause: z.string().optional(),
    step: z.enum(['admit', 'wait', 'route', 'retry', 'slow', 'refuse', 'place', 'finish']),
    chosen: z.string().optional(),
    passedOver: z
      .array(z.object({ candidate: z.string(), reason: z.string() }).readonly())
      .readonly()
      .optional(),
    /** Explanation in plain words for a non-technical reader. */
    reason: z.string(),
    /** Measurements that the decision is based on, with units in their names. */
    measured: z.record(z.string(), z.number()).readonly().optional(),
    /** Wall-clock time, for display. */
    wallMs: z.number(),
  })
  .readonly();
export type Decision = z.infer<typeof decisionSchema>;
