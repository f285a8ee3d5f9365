/**
 * A record that the platform publishes, and the forms in which nodes exchange it.
 *
 * Records are ordered by the publisher's revision alone. A removed record stays as a tombstone, so
 * that an older copy from a peer cannot bring it back.
 */
import { z } from 'zod';

/** Publishers of records; each counts its own revisions. @public */
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
    /** The last valid value, where `body` is refused: its revision and text. */
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
