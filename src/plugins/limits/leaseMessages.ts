/**
 * Lease messages between a node and the home node of a customer.
 */
import * as z from 'zod';
import { customerIdSchema } from '../../core';

/** @internal */
export const leaseRequestSchema = z
  .object({
    customer: customerIdSchema,
    /** Generations of the customer that run on the requesting node. */
    generationsInUse: z.number().int().min(0),
    /** Generations that the node wants to run, including those in use. */
    generationsWanted: z.number().int().min(0),
    /** Requests that the node wants to admit during the lease. */
    permitsWanted: z.number().int().min(0),
  })
  .readonly();
export type LeaseRequest = z.infer<typeof leaseRequestSchema>;

/** @internal */
export const leaseReplySchema = z
  .object({
    generations: z.number().int().min(0),
    permits: z.number().int().min(0),
    /** Duration of the lease, counted from when the request was sent. */
    leaseMs: z.number().min(0),
    /** Delay after which a retry may succeed, when less was granted than wanted. */
    retryAfterMs: z.number().min(0),
  })
  .readonly();
export type LeaseReply = z.infer<typeof leaseReplySchema>;
