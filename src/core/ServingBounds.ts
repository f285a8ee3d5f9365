/**
 * Times and shares that the operator promises for a whole deployment.
 */
import { z } from 'zod';

const positiveSchema = z.number().positive();

/** @public */
export const servingBoundsSchema = z
  .object({
    /** From the removal of a key until no request with it runs, on any node. */
    revocationWithinMs: positiveSchema,
    /** From the signal to stop until the process is killed. */
    shutdownGraceMs: positiveSchema,
    /** Repeats that a service gets over `retryWindowMs`: this share of its requests … */
    retryShare: z.number().min(0),
    /** … and this number, from all nodes together. */
    retryAllowance: z.number().min(0),
    retryWindowMs: positiveSchema,
    /** Longest time that callers keep an answer about addresses. */
    maxAddressAgeMs: positiveSchema,
  })
  .readonly();
export type ServingBounds = z.infer<typeof servingBoundsSchema>;
