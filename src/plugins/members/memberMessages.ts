/**
 * Messages by which nodes exchange their states.
 *
 * An exchange is sent several times a second, so it carries what changes with it: the loads, and a
 * summary of whom a node has heard from, as a list of numbers. What these numbers stand for is sent
 * once to each node that lacks it.
 */
import * as z from 'zod';
import { endpointIdSchema, incarnationSchema, vmIdSchema } from '../../core';

/** Bounds on the size of an exchange, several times those of the largest fleet in use. */
const LIMITS = {
  nodes: 4_096,
  endpoints: 8_192,
  summaries: 256,
  sharedStates: 16,
  textLength: 255,
} as const;

const countSchema = z.number().min(0);
const textSchema = z.string().max(LIMITS.textLength);
const hashSchema = z.number().int().min(0);
const hashesSchema = z.array(hashSchema).max(LIMITS.nodes).readonly();

/** Endpoint; requests; tokens held now, at completion, and not prefilled yet; pace in ms. */
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
export type LoadMessage = z.infer<typeof loadSchema>;

/** As a load, with the sum of the paces and the number of nodes that measured one. */
const loadSumSchema = z
  .tuple([
    endpointIdSchema,
    countSchema,
    countSchema,
    countSchema,
    countSchema,
    countSchema,
    countSchema,
  ])
  .readonly();
export type LoadSumMessage = z.infer<typeof loadSumSchema>;

const loadsSchema = z.array(loadSchema).max(LIMITS.endpoints).readonly();
const loadSumsSchema = z.array(loadSumSchema).max(LIMITS.endpoints).readonly();

/** VM, incarnation, data centre, region, peer address, caller address, whether it takes callers. */
const identitySchema = z
  .tuple([
    vmIdSchema,
    incarnationSchema,
    textSchema,
    textSchema,
    textSchema,
    textSchema,
    z.boolean(),
  ])
  .readonly();
export type IdentityMessage = z.infer<typeof identitySchema>;

/** Whom one node had heard from itself at one moment. */
const summarySchema = z
  .object({
    origin: vmIdSchema,
    dataCentre: textSchema,
    ageMs: countSchema,
    /** Hash of the members, by which a known list is recognised. */
    membersHash: hashSchema,
    /** Hashes of the identities; absent when the receiver has the list. */
    members: hashesSchema.optional(),
    /** Loads of the nodes of the data centre; only from an aggregator itself. */
    loadSums: loadSumsSchema.optional(),
  })
  .readonly();
export type SummaryMessage = z.infer<typeof summarySchema>;

/**
 * Type of a state that nodes share; revision of the sender's content; revision of the receiver's
 * content that the sender has; the content, unless the receiver has it.
 */
const sharedStateSchema = z
  .tuple([textSchema, countSchema, countSchema, z.unknown().optional()])
  .readonly();
export type SharedStateMessage = z.infer<typeof sharedStateSchema>;

const exchangeShape = {
  self: identitySchema,
  loads: loadsSchema,
  summaries: z.array(summarySchema).max(LIMITS.summaries).readonly(),
  shared: z.array(sharedStateSchema).max(LIMITS.sharedStates).readonly().optional(),
  /** Whether the sender has what the fleet shares; nodes of earlier versions share nothing. */
  hasJoined: z.boolean().default(true),
};

/** @internal */
export const exchangeRequestSchema = z
  .object({
    ...exchangeShape,
    role: z.enum(['mesh', 'aggregator', 'member']),
    /** Lists of members that the sender has, by their hashes. */
    knownLists: hashesSchema,
    /** Hashes of identities that the sender lacks. */
    missing: hashesSchema,
    /** Whether the reply should have the loads of all other nodes. */
    wantsLoadSums: z.boolean(),
  })
  .readonly();
export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>;

/** @internal */
export const exchangeReplySchema = z
  .object({
    ...exchangeShape,
    identities: z.array(identitySchema).max(LIMITS.nodes).readonly(),
    loadSums: loadSumsSchema.optional(),
  })
  .readonly();
export type ExchangeReply = z.infer<typeof exchangeReplySchema>;
