/**
 * The ticket of an operation: who may dispatch it and who knows whether it was dispatched.
 */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import { customerIdSchema, incarnationSchema, operationIdSchema, vmIdSchema } from '../core';

/** One start of a node. @public */
export const nodeProcessSchema = z
  .object({ vmId: vmIdSchema, incarnation: incarnationSchema })
  .readonly();
export type NodeProcess = z.infer<typeof nodeProcessSchema>;

/**
 * A reservation at a witness. The witness chooses its id, so that a reservation message delivered
 * again later can't reopen a ticket that the witness has forgotten.
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

/** What tells one call from another under the same key. @public */
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
