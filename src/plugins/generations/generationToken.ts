/**
 * Signed tokens that identify generations, and event ids built from them.
 *
 * The id of every event contains the token, so its payload is a tuple without field names.
 */
import * as z from 'zod';
import {
  customerIdSchema,
  endpointIdSchema,
  generationIdSchema,
  ServingError,
  signToken,
  verifyToken,
  vmIdSchema,
  type CustomerId,
  type EndpointId,
  type GenerationId,
  type VmId,
} from '../../core';

const PURPOSE = 'generation';

const tokenSchema = z.tuple([
  customerIdSchema,
  endpointIdSchema,
  generationIdSchema,
  vmIdSchema,
  z.string(),
]);

/** @internal */
export interface GenerationTokenPayload {
  readonly customer: CustomerId;
  readonly endpointId: EndpointId;
  readonly generationId: GenerationId;
  /** Node that started the generation. */
  readonly startedBy: VmId;
  readonly kindOfWork: string;
}

/** @internal */
export function createGenerationToken(fleetKey: string, payload: GenerationTokenPayload): string {
  const { customer, endpointId, generationId, startedBy, kindOfWork } = payload;
  return signToken(fleetKey, PURPOSE, [customer, endpointId, generationId, startedBy, kindOfWork]);
}

/** @throws ServingError `invalid-token`, also for a token of another customer. @internal */
export function readGenerationToken(
  fleetKey: string,
  token: string,
  customer: CustomerId,
): GenerationTokenPayload {
  const values = verifyToken(fleetKey, PURPOSE, token, tokenSchema);
  if (values[0] !== customer) {
    throw new ServingError('invalid-token', {
      detail: 'The token was issued to another customer.',
    });
  }
  const [, endpointId, generationId, startedBy, kindOfWork] = values;
  return { customer, endpointId, generationId, startedBy, kindOfWork };
}

/** @internal */
export function formatEventId(token: string, position: number): string {
  return `${token}.${position}`;
}

/**
 * Returns the position after which to continue; undefined for the start. Accepts a whole event id,
 * as clients of server-sent events return it, or the position alone.
 * @throws ServingError `invalid-token`, `unknown-position`.
 * @internal
 */
export function readLastEventId(
  token: string,
  lastEventId: string | undefined,
): number | undefined {
  if (!lastEventId) return undefined;
  const dot = lastEventId.lastIndexOf('.');
  if (dot >= 0 && lastEventId.slice(0, dot) !== token) {
    throw new ServingError('invalid-token', {
      detail: 'Last-Event-ID belongs to another generation.',
    });
  }
  const position = lastEventId.slice(dot + 1);
  if (!/^\d{1,9}$/.test(position)) {
    throw new ServingError('unknown-position', { detail: `${position} is not a position.` });
  }
  return Number(position);
}
