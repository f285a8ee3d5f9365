/**
 * Tokens that the fleet hands to callers and recognises later on any node.
 *
 * A token is `base64url(JSON) "." base64url(HMAC-SHA-256)`. The purpose is part of the signed text,
 * so that a token for one use is worthless for another.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { z } from 'zod';
import { ServingError } from './ServingError';

/** Bytes of the HMAC that are kept: 128 bits keep event ids short and cannot be guessed. */
const SIGNATURE_BYTES = 16;

function computeSignature(key: string, purpose: string, payload: string): Buffer {
  return createHmac('sha256', key)
    .update(`${purpose}\n${payload}`)
    .digest()
    .subarray(0, SIGNATURE_BYTES);
}

/** @public */
export function signToken(fleetKey: string, purpose: string, value: object): string {
  const payload = Buffer.from(JSON.stringify(value)).toString('base64url');
  return `${payload}.${computeSignature(fleetKey, purpose, payload).toString('base64url')}`;
}

/** Returns the value of a genuine token. @throws ServingError `invalid-token`. @public */
export function verifyToken<S extends z.ZodType>(
  fleetKey: string,
  purpose: string,
  token: string,
  schema: S,
): z.infer<S> {
  const refuse = (detail: string): ServingError => new ServingError('invalid-token', { detail });
  const [payload, signature, ...rest] = token.split('.');
  if (!payload || !signature || rest.length > 0) throw refuse('The token has the wrong format.');
  const given = Buffer.from(signature, 'base64url');
  const expected = computeSignature(fleetKey, purpose, payload);
  if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
    throw refuse('The signature of the token does not match.');
  }
  const result = schema.safeParse(JSON.parse(Buffer.from(payload, 'base64url').toString()));
  if (!result.success) throw refuse('The content of the token is not valid.');
  return result.data;
}
