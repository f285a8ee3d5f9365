/**
 * Records that the platform publishes and nodes replicate.
 *
 * Records are ordered only by the publisher's revision. A removed record is kept as a tombstone, so
 * that an older copy from a peer cannot restore it.
 */
import * as z from 'zod';

/** Publishers of records, each with its own revision counter. @public */
export const publishedSourceNameSchema = z.enum(['configuration', 'vm-list']);
export type PublishedSourceName = z.infer<typeof publishedSourceNameSchema>;

/** @public */
export const publishedRecordSchema = z
  .object({
    /** `contracts/<customerId>` or `vms/<vmId>`. */
    key: z.string(),
    /** The publisher's revision at which the record last changed. */
    revision: z.number().int().min(0),
    /** JSON text of the value; null when the record was removed. */
    body: z.string().nullable(),
    /** Revision and text of the last valid value; present when `body` is invalid. */
    lastGood: z
      .object({ revision: z.number().int().min(0), body: z.string() })
      .readonly()
      .optional(),
  })
  .readonly();
export type PublishedRecord = z.infer<typeof publishedRecordSchema>;

export function getSourceOfKey(key: string): PublishedSourceName {
  return key.startsWith('vms/') ? 'vm-list' : 'configuration';
}
