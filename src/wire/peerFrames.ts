/**
 * Frames between nodes: one msgpack value in each binary WebSocket message.
 *
 * A link starts with a handshake, in which each side sends a greeting and a proof; after that it
 * carries requests and replies. Data from a peer is validated against a schema before use.
 */
import { Packr } from 'msgpackr';
import * as z from 'zod';
import {
  incarnationSchema,
  isErrorKind,
  ServingError,
  vmIdSchema,
  type ErrorKind,
  type ServingErrorDetails,
} from '../core';

const NONCE_BYTES = 16;
const PROOF_BYTES = 32;

const packr = new Packr({ useRecords: false, mapsAsObjects: true });

const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/** First message of each side. @public */
export const peerGreetingSchema = z
  .strictObject({
    /** Version of the link protocol. */
    version: z.literal(1),
    vmId: vmIdSchema,
    incarnation: incarnationSchema,
    nonce: bytesSchema.refine((nonce) => nonce.length === NONCE_BYTES),
  })
  .readonly();
export type PeerGreeting = z.infer<typeof peerGreetingSchema>;

/** Second message of each side: proves that it has the fleet key. @public */
export const peerProofSchema = z
  .strictObject({ proof: bytesSchema.refine((proof) => proof.length === PROOF_BYTES) })
  .readonly();
export type PeerProof = z.infer<typeof peerProofSchema>;

const frameIdSchema = z.number().int().min(0);

const peerErrorSchema = z
  .strictObject({
    kind: z.custom<ErrorKind>((value) => typeof value === 'string' && isErrorKind(value)),
    detail: z.string(),
    clause: z.string().optional(),
    retryAfterMs: z.number().optional(),
    headers: z.record(z.string(), z.string()).readonly().optional(),
  })
  .readonly();

/** A message for a handler. Without an id, no reply is expected. @public */
const peerRequestSchema = z
  .strictObject({ id: frameIdSchema.optional(), type: z.string(), body: z.unknown() })
  .readonly();
export type PeerRequest = z.infer<typeof peerRequestSchema>;

const peerReplySchema = z.strictObject({ id: frameIdSchema, reply: z.unknown() }).readonly();

const peerFailureSchema = z.strictObject({ id: frameIdSchema, error: peerErrorSchema }).readonly();

/** @public */
export type PeerFrame =
  | { readonly form: 'request'; readonly request: PeerRequest }
  | { readonly form: 'reply'; readonly id: number; readonly reply: unknown }
  | { readonly form: 'failure'; readonly id: number; readonly error: ServingError };

function malformed(detail: string, cause?: unknown): ServingError {
  return new ServingError('malformed-request', { detail, cause });
}

function unpack(data: Uint8Array): unknown {
  try {
    return packr.unpack(data) as unknown;
  } catch (thrown) {
    throw malformed('The frame is not valid msgpack.', thrown);
  }
}

function parse<S extends z.ZodType>(schema: S, value: unknown): z.infer<S> {
  const result = schema.safeParse(value);
  if (!result.success) throw malformed('The frame does not match its schema.', result.error);
  return result.data;
}

function toDetails({ detail, clause, retryAfterMs, headers }: ServingError): ServingErrorDetails {
  return {
    detail,
    ...(clause === undefined ? {} : { clause }),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...(Object.keys(headers).length === 0 ? {} : { headers }),
  };
}

export function encodePeerGreeting(greeting: PeerGreeting): Uint8Array {
  return packr.pack(greeting);
}

/** @throws ServingError `malformed-request`. */
export function decodePeerGreeting(data: Uint8Array): PeerGreeting {
  return parse(peerGreetingSchema, unpack(data));
}

export function encodePeerProof(proof: PeerProof): Uint8Array {
  return packr.pack(proof);
}

/** @throws ServingError `malformed-request`. */
export function decodePeerProof(data: Uint8Array): PeerProof {
  return parse(peerProofSchema, unpack(data));
}

export function encodePeerFrame(frame: PeerFrame): Uint8Array {
  if (frame.form === 'request') return packr.pack(frame.request);
  if (frame.form === 'reply') return packr.pack({ id: frame.id, reply: frame.reply ?? null });
  return packr.pack({ id: frame.id, error: { kind: frame.error.kind, ...toDetails(frame.error) } });
}

/** @throws ServingError `malformed-request`. */
export function decodePeerFrame(data: Uint8Array): PeerFrame {
  const value = unpack(data);
  if (typeof value !== 'object' || value === null) throw malformed('The frame is not an object.');
  if ('type' in value) return { form: 'request', request: parse(peerRequestSchema, value) };
  if ('reply' in value) return { form: 'reply', ...parse(peerReplySchema, value) };
  const { id, error } = parse(peerFailureSchema, value);
  const { kind, ...details } = error;
  return { form: 'failure', id, error: new ServingError(kind, details) };
}

/** Returns the encoded size of a message body, for traffic budgets and tests. */
export function getPackedBytes(body: unknown): number {
  return packr.pack(body).length;
}
