/**
 * Branded identifiers.
 *
 * An id is a string whose brand keeps it from being passed where another kind of id is expected.
 * Each kind has a schema that validates the format of text from outside the process.
 */
import { randomBytes } from 'node:crypto';
import * as z from 'zod';

/** Name of a VM, as the platform publishes it. @public */
export const vmIdSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/)
  .brand<'VmId'>();
export type VmId = z.infer<typeof vmIdSchema>;

/** Name of a customer; one contract each. @public */
export const customerIdSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/)
  .brand<'CustomerId'>();
export type CustomerId = z.infer<typeof customerIdSchema>;

/** Longest name of a customer that another system publishes. */
const MAX_CUSTOMER_CHARS = 1_024;

/**
 * Name of a customer in a configuration that another system publishes. It is sent in a header, so it
 * has no control characters, no unpaired surrogates and no space at either end. @public
 */
export const publishedCustomerIdSchema = z
  .string()
  .max(MAX_CUSTOMER_CHARS)
  .regex(/^(?!\s)[^\p{Cc}\p{Cs}]+(?<!\s)$/u)
  .brand<'CustomerId'>();

/** Names of endpoints are parts of keys, which are no longer than this. */
const MAX_ENDPOINT_ID_CHARS = 200;

/**
 * Name of an endpoint (engine or service), as the publisher of the list chooses it: a letter or digit,
 * then any characters that a header can carry. @public
 */
export const endpointIdSchema = z
  .string()
  .max(MAX_ENDPOINT_ID_CHARS)
  .regex(/^[\p{L}\p{N}][^\p{Cc}\p{Cs}]*(?<!\s)$/u)
  .brand<'EndpointId'>();
export type EndpointId = z.infer<typeof endpointIdSchema>;

/** One process of a node; random, so that a restart is not mistaken for its predecessor. @public */
export const incarnationSchema = z
  .string()
  .regex(/^[0-9a-f]{16}$/)
  .brand<'Incarnation'>();
export type Incarnation = z.infer<typeof incarnationSchema>;

/** `<vmId>~<random>`, with the VM of the node that decides about the request. @public */
export const requestIdSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}~[0-9a-f]{16}$/)
  .brand<'RequestId'>();
export type RequestId = z.infer<typeof requestIdSchema>;

/** Id of one attempt of a caller, chosen by the caller: any header value, byte for byte. @public */
export const callerRequestIdSchema = z
  .string()
  .max(1_024)
  .regex(/^(?! )[\x20-\x7e\x80-\xff]+(?<! )$/)
  .brand<'CallerRequestId'>();
export type CallerRequestId = z.infer<typeof callerRequestIdSchema>;

/** One part of a prompt that requests may share, such as a system prompt. @public */
export const promptPartIdSchema = z
  .string()
  .regex(/^[\x21-\x7e]{1,128}$/)
  .brand<'PromptPartId'>();
export type PromptPartId = z.infer<typeof promptPartIdSchema>;

export const FINGERPRINT_PREFIX = 'request:';

/**
 * Fingerprint of a request: the same for requests with the same method, path, customer and body. It
 * is never the id of a part of a prompt, as none can have a colon. @public
 */
export const requestFingerprintSchema = z
  .string()
  .regex(new RegExp(`^${FINGERPRINT_PREFIX}[\\w-]{22}$`))
  .brand<'RequestFingerprint'>();
export type RequestFingerprint = z.infer<typeof requestFingerprintSchema>;

/** What requests that crash endpoints may have in common. @public */
export const requestPartSchema = z.union([requestFingerprintSchema, promptPartIdSchema]);
export type RequestPart = z.infer<typeof requestPartSchema>;

/** Whether a part stands for a whole request, and not for a part of its prompt. @public */
export function isFingerprint(requestPart: RequestPart): requestPart is RequestFingerprint {
  return requestPart.startsWith(FINGERPRINT_PREFIX);
}

/** A part of a prompt that other requests may have too. @public */
export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

/** One run of a model on an engine; chosen by the node that starts it. @public */
export const generationIdSchema = z
  .string()
  .regex(/^[0-9a-f]{24}$/)
  .brand<'GenerationId'>();
export type GenerationId = z.infer<typeof generationIdSchema>;

/** One call of a service that may not be repeated. @public */
export const operationIdSchema = z
  .string()
  .regex(/^[0-9a-f]{24}$/)
  .brand<'OperationId'>();
export type OperationId = z.infer<typeof operationIdSchema>;

const INCARNATION_BYTES = 8;
const REQUEST_ID_BYTES = 8;
const RUN_ID_BYTES = 12;

export function createIncarnation(): Incarnation {
  return randomBytes(INCARNATION_BYTES).toString('hex') as Incarnation;
}

export function createRequestId(vmId: VmId): RequestId {
  return `${vmId}~${randomBytes(REQUEST_ID_BYTES).toString('hex')}` as RequestId;
}

/** Returns the VM of the node that decided about a request. */
export function getDecidingVm(requestId: RequestId): VmId {
  return requestId.slice(0, requestId.lastIndexOf('~')) as VmId;
}

export function createGenerationId(): GenerationId {
  return randomBytes(RUN_ID_BYTES).toString('hex') as GenerationId;
}

export function createOperationId(): OperationId {
  return randomBytes(RUN_ID_BYTES).toString('hex') as OperationId;
}
