/**
 * Outcome of an operation, which its owner and witnesses store to answer repeated calls.
 */
import * as z from 'zod';

/** Bytes of a body; any `Uint8Array`, whatever its buffer. @public */
export const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/** Error kinds of operations that ended without an answer. @public */
export const failedOperationKindSchema = z.enum([
  'operation-closed',
  'operation-key-expired',
  'outcome-unknown',
]);

/** The first answer, or the reason why there is none. Immutable once stored. @public */
export const storedOutcomeSchema = z.discriminatedUnion('state', [
  z
    .object({
      state: z.literal('answered'),
      answer: z
        .object({
          status: z.number().int(),
          headers: z.record(z.string(), z.string()).readonly(),
          body: bytesSchema,
        })
        .readonly(),
    })
    .readonly(),
  z
    .object({
      state: z.literal('failed'),
      kind: failedOperationKindSchema,
      detail: z.string(),
    })
    .readonly(),
]);
export type StoredOutcome = z.infer<typeof storedOutcomeSchema>;
export type FailedOutcome = Extract<StoredOutcome, { readonly state: 'failed' }>;

/** Bytes that the outcome counts for in a table. */
export function countOutcomeBytes(outcome: StoredOutcome): number {
  return outcome.state === 'answered' ? outcome.answer.body.byteLength : 0;
}
