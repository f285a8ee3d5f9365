/**
 * Settings of a forwarding node, read from a JSON file that may change while the node runs.
 */
import * as z from 'zod';
import { connectionSettingsSchema } from './ConnectionSettings';
import { servingBoundsSchema, type ServingBounds } from './ServingBounds';
import { ServingError } from './ServingError';
import { addressSchema, settingsSchema } from './Settings';

const MS_PER_SECOND = 1_000;

/** An optional bound with a default value. */
function boundSchema(defaultValue: number): z.ZodType<number> {
  return z
    .number()
    .nullish()
    .transform((value) => value ?? defaultValue);
}

/** A bound that not every platform states: a template writes it as text, without a value `null` or nothing. */
function optionalBoundSchema(defaultValue: number): z.ZodType<number> {
  const readText = (value: unknown): unknown => {
    if (typeof value !== 'string') return value;
    return value === '' || value === 'null' ? undefined : Number(value);
  };
  return z.preprocess(readText, boundSchema(defaultValue));
}

const fileBoundsSchema = z
  .object({
    revocationWithinMs: boundSchema(5_000),
    shutdownGraceSeconds: boundSchema(8),
    retryShare: boundSchema(0.2),
    retryAllowance: boundSchema(20),
    retryWindowSeconds: boundSchema(10),
    maxAddressAgeSeconds: boundSchema(5),
    coldRequestFactor: optionalBoundSchema(1),
    coldRequestAllowance: optionalBoundSchema(0),
    evacuationWithinMs: optionalBoundSchema(5_000),
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

/** `auto`: where the configuration calls for the feature. */
const featureSchema = z.enum(['auto', 'on', 'off']).default('auto');

const schedulingSchema = z
  .object({
    /** Shares scarce room among the customers of one rank. */
    fairShares: featureSchema,
    /** Spreads long prompts, so that they don't delay short ones on the same engine. */
    promptPacing: featureSchema,
  })
  .readonly();
export type Scheduling = z.infer<typeof schedulingSchema>;

/** @public */
export const frontSettingsSchema = z
  .object({
    /** Settings that every node needs. */
    node: settingsSchema,
    /** Listener where the operator checks whether the node accepts callers. */
    readinessAddress: addressSchema,
    /** Listener where callers look up node addresses; undefined on nodes without one. */
    directoryAddress: addressSchema.nullish().transform((address) => address ?? undefined),
    /** Peer addresses through which the node discovers other nodes. */
    seeds: z.array(addressSchema).readonly(),
    /** Region by data centre. */
    regions: z.record(z.string(), z.string()).readonly(),
    bounds: fileBoundsSchema,
    scheduling: schedulingSchema.default({ fairShares: 'auto', promptPacing: 'auto' }),
    connections: connectionSettingsSchema.prefault({}),
  })
  .readonly();
export type FrontSettings = z.infer<typeof frontSettingsSchema>;

/** @throws ServingError `invalid-settings`, with each fault on its own line. */
export function parseFrontSettings(text: string): FrontSettings {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (thrown) {
    throw new ServingError('invalid-settings', {
      detail: 'The settings file is not valid JSON.',
      cause: thrown,
    });
  }
  const result = frontSettingsSchema.safeParse(json);
  if (result.success) return result.data;
  const faults = result.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
  throw new ServingError('invalid-settings', { detail: faults.join('\n') });
}
