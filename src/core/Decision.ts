/**
 * A decision about a request, with its reason.
 *
 * A chain of decisions answers why a request waited, slowed down or was refused. Every entry names
 * the clause of the contract that it follows from and the state that was measured.
 */
import { z } from 'zod';
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
    /** Plain words for a manager. */
    reason: z.string(),
    /** Figures that the decision rests on, with units in the names. */
    measured: z.record(z.string(), z.number()).readonly().optional(),
    /** Wall-clock time, for display. */
    wallMs: z.number(),
  })
  .readonly();
export type Decision = z.infer<typeof decisionSchema>;
