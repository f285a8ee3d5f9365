/**
 * Signed tokens that a node issues to callers and that every node of the fleet can verify.
 *
 * A token is `base64url(JSON) "." base64url(HMAC-SHA-256)`. The purpose is part of the signed text,
 * so that a token is valid only for the purpose it was issued for.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { z } from 'zod';
import { ServingError } from './ServingError';

/** Length of the truncated HMAC: 128 bits keep event ids short and cannot be guessed. */
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

/** Verifies a token and returns its value. @throws ServingError `invalid-token`. @public */
export function verifyToken<S extends z.ZodType>(
  fleetKey: string,
  purpose: string,
  token: string,
  schema: S,
): z.infer<S> {
  const invalid = (detail: string): ServingError => new ServingError('invalid-token', { detail });
  const [payload, signature, ...rest] = token.split('.');
  if (!payload || !signature || rest.length > 0) throw invalid('The token has the wrong format.');
  const actual = Buffer.from(signature, 'base64url');
  const expected = computeSignature(fleetKey, purpose, payload);
  if (actual.length !== expected.length || !timingSafeEqual(actual, expected)) {
    throw invalid('The signature of the token does not match.');
  }
  const result = schema.safeParse(JSON.parse(Buffer.from(payload, 'base64url').toString()));
  if (!result.success) throw invalid('The content of the token is not valid.');
  return result.data;
}
