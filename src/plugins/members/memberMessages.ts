/**
 * Messages by which nodes exchange their member states.
 */
import { z } from 'zod';
import { endpointIdSchema, incarnationSchema, vmIdSchema } from '../../core';

const countSchema = z.number().min(0);

const loadSchema = z
  .tuple([
    endpointIdSchema,
    countSchema,
    countSchema,
    countSchema,
    countSchema,
    countSchema.optional(),
  ])
  .readonly();

/** @internal */
export const memberStateSchema = z
  .object({
    vmId: vmIdSchema,
    incarnation: incarnationSchema,
    dataCentre: z.string(),
    region: z.string(),
    peerAddress: z.string(),
    callerAddress: z.string(),
    takesCallers: z.boolean(),
    /** Endpoint; requests; tokens held now, at completion, and not prefilled yet; pace in ms. */
    loads: z.array(loadSchema).readonly(),
  })
  .readonly();
export type MemberStateMessage = z.infer<typeof memberStateSchema>;

/** The sender's own state, and the peer addresses of the live nodes it knows. @internal */
export const memberExchangeSchema = z
  .object({
    self: memberStateSchema,
    knownAddresses: z.array(z.string()).readonly(),
  })
  .readonly();
export type MemberExchange = z.infer<typeof memberExchangeSchema>;
