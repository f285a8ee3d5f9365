/**
 * Settings of a node that forwards: read from a JSON file, which may change while the node runs.
 */
import { z } from 'zod';
import { servingBoundsSchema, type ServingBounds } from './ServingBounds';
import { ServingError } from './ServingError';
import { addressSchema, settingsSchema } from './Settings';

const MS_PER_SECOND = 1_000;

/** A bound that a deployment may leave out. */
function boundSchema(defaultValue: number): z.ZodType<number> {
  return z
    .number()
    .nullish()
    .transform((value) => value ?? defaultValue);
}

const fileBoundsSchema = z
  .object({
    revocationWithinMs: boundSchema(5_000),
    shutdownGraceSeconds: boundSchema(8),
    retryShare: boundSchema(0.2),
    retryAllowance: boundSchema(20),
    retryWindowSeconds: boundSchema(10),
    maxAddressAgeSeconds: boundSchema(5),
  })
  .transform((file): ServingBounds => {
    const { shutdownGraceSeconds, retryWindowSeconds, maxAddressAgeSeconds, ...bounds } = file;
    return servingBoundsSchema.parse({
      ...bounds,
      shutdownGraceMs: shutdownGraceSeconds * MS_PER_SECOND,
      retryWindowMs: retryWindowSeconds * MS_PER_SECOND,
      maxAddressAgeMs: maxAddressAgeSeconds * MS_PER_SECOND,
    });
  });

/** @public */
export const frontSettingsSchema = z
  .object({
    /** What every node needs. */
    node: settingsSchema,
    /** Asked by the operator whether the node takes callers. */
    readinessAddress: addressSchema,
    /** Asked by callers for addresses; undefined where the node isn't asked. */
    directoryAddress: addressSchema.nullish().transform((address) => address ?? undefined),
    /** Addresses of links at which other nodes may be found. */
    seeds: z.array(addressSchema).readonly(),
    /** Region by data centre. */
    regions: z.record(z.string(), z.string()).readonly(),
    bounds: fileBoundsSchema,
  })
  .readonly();
export type FrontSettings = z.infer<typeof frontSettingsSchema>;

/** @throws ServingError `invalid-settings`, with every fault on a line of its own. */
export function parseFrontSettings(text: string): FrontSettings {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (thrown) {
    throw new ServingError('invalid-settings', { detail: 'The file is not JSON.', cause: thrown });
  }
  const result = frontSettingsSchema.safeParse(json);
  if (result.success) return result.data;
  const faults = result.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
  throw new ServingError('invalid-settings', { detail: faults.join('\n') });
}
