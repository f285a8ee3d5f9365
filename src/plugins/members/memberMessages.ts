/**
 * Messages by which nodes tell each other their states.
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
    /** Endpoint, requests, tokens held now, at their ends, and not read yet; pace in ms. */
    loads: z.array(loadSchema).readonly(),
  })
  .readonly();
export type MemberStateMessage = z.infer<typeof memberStateSchema>;

/** The sender's own state, and the addresses at which it has met other nodes. @internal */
export const memberExchangeSchema = z
  .object({
    self: memberStateSchema,
    knownAddresses: z.array(z.string()).readonly(),
  })
  .readonly();
export type MemberExchange = z.infer<typeof memberExchangeSchema>;
