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
    /**
     * Requests that a cold endpoint may get in a second from all nodes together: this multiple of
     * the rate that its service tolerates …
     */
    coldRequestFactor: z.number().min(0),
    /** … plus this number. */
    coldRequestAllowance: z.number().min(0),
    /** Maximum time from the operator's order until a data centre's endpoints get no more work. */
    evacuationWithinMs: positiveSchema,
  })
  .readonly();
export type ServingBounds = z.infer<typeof servingBoundsSchema>;
