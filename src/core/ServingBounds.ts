/**
 * Time limits and retry budgets that the operator guarantees for a whole deployment.
 */
import * as z from 'zod';

const positiveSchema = z.number().positive();

/** @public */
export const servingBoundsSchema = z
  .object({
    /** Maximum time from the removal of a key until no node runs a request with it. */
    revocationWithinMs: positiveSchema,
    /** Time from the termination signal until the process is killed. */
    shutdownGraceMs: positiveSchema,
    /** Retry budget of a service per `retryWindowMs`: this share of its requests … */
    retryShare: z.number().min(0),
    /** … plus this number of retries, for all nodes together. */
    retryAllowance: z.number().min(0),
    retryWindowMs: positiveSchema,
    /** Maximum time for which callers cache node addresses. */
    maxAddressAgeMs: positiveSchema,
  })
  .readonly();
export type ServingBounds = z.infer<typeof servingBoundsSchema>;
