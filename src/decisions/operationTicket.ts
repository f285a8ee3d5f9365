/**
 * The ticket of an operation: its owner, the only process that may dispatch it, and its witnesses,
 * which record whether it may have been dispatched.
 */
import { createHash } from 'node:crypto';
import * as z from 'zod';
import { customerIdSchema, incarnationSchema, operationIdSchema, vmIdSchema } from '../core';

/** One process of a node; each restart has a new incarnation. @public */
export const nodeProcessSchema = z
  .object({ vmId: vmIdSchema, incarnation: incarnationSchema })
  .readonly();
export type NodeProcess = z.infer<typeof nodeProcessSchema>;

/**
 * A reservation at a witness. The witness chooses its id, so that a duplicate reservation message
 * that arrives late can't reopen a ticket that the witness has evicted.
 * @public
 */
export const reservationSchema = z
  .object({
    vmId: vmIdSchema,
    incarnation: incarnationSchema,
    reservationId: operationIdSchema,
  })
  .readonly();
export type WitnessReservation = z.infer<typeof reservationSchema>;

/** Content of the signed operation key. @public */
export const operationTicketSchema = z
  .object({
    operationId: operationIdSchema,
    owner: nodeProcessSchema,
    witnesses: z.array(reservationSchema).readonly(),
    customer: customerIdSchema,
    kindOfWork: z.string(),
  })
  .readonly();
export type OperationTicket = z.infer<typeof operationTicketSchema>;

/** Properties that distinguish calls under the same key. @public */
export interface FingerprintedCall {
  readonly kindOfWork: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** SHA-256 of the call, in hex. @public */
export function computeCallFingerprint(call: FingerprintedCall): string {
  return createHash('sha256')
    .update(JSON.stringify([call.kindOfWork, call.method, call.path]))
    .update(call.body)
    .digest('hex');
}
