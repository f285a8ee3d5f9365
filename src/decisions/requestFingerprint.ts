/**
 * The fingerprint by which a request is recognised when it comes again, at any node.
 *
 * Header fields are left out, as an attempt's own id, deadline and hints are among them. Of a long
 * body only the first bytes count: such a body is sent on while it arrives. Long requests that differ
 * only behind these bytes have one fingerprint.
 */
import { createHash } from 'node:crypto';
import { FINGERPRINT_PREFIX, type CustomerId, type RequestFingerprint } from '../core';

/** Bytes of a body that its digest covers. */
export const FINGERPRINTED_BODY_BYTES = 65_536;

/** Characters of the encoded hash that are kept: 132 bits. */
const FINGERPRINT_CHARS = 22;

/** What identifies a request besides its body. @public */
export interface IdentifiedRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly customer: CustomerId | undefined;
}

/** Digest of the first bytes of a body, however it is split into chunks. @public */
export function computeBodyDigest(body: Uint8Array): string {
  const first = body.subarray(0, FINGERPRINTED_BODY_BYTES);
  return createHash('sha256').update(first).digest('base64url');
}

/** @public */
export function computeRequestFingerprint(
  { method, target, customer }: IdentifiedRequest,
  bodyDigest: string,
): RequestFingerprint {
  const identity = JSON.stringify([method, target, customer ?? null, bodyDigest]);
  const hash = createHash('sha256').update(identity).digest('base64url');
  return `${FINGERPRINT_PREFIX}${hash.slice(0, FINGERPRINT_CHARS)}` as RequestFingerprint;
}
