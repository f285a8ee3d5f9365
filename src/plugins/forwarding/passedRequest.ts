/**
 * What a node tells another one about a request that it passes to it. The statement is signed, so that
 * callers can't make it, and holds for one request.
 */
import * as z from 'zod';
import {
  callerRequestIdSchema,
  signToken,
  verifyToken,
  vmIdSchema,
  type Settings,
} from '../../core';
import type { ServingRequest } from '../../services';

const PURPOSE = 'passed request';

const passedRequestSchema = z
  .object({
    requestId: callerRequestIdSchema,
    from: vmIdSchema,
    /** Version of the configuration by which the node admitted the request. */
    configurationVersion: z.number(),
    /** Endpoints that may have received the request before. */
    endpointsTried: z.number().int().min(0),
  })
  .readonly();

/** @internal */
export type PassedRequest = z.infer<typeof passedRequestSchema>;

/** @internal */
export function signPassedRequest({ fleetKey }: Settings, passed: PassedRequest): string {
  return signToken(fleetKey, PURPOSE, passed);
}

/** Returns undefined for a request that comes from a caller. @internal */
export function readPassedRequest(
  { fleetKey }: Settings,
  { requestId, passedStatement }: ServingRequest,
): PassedRequest | undefined {
  if (passedStatement === undefined) return undefined;
  try {
    const passed = verifyToken(fleetKey, PURPOSE, passedStatement, passedRequestSchema);
    return passed.requestId === requestId ? passed : undefined;
  } catch {
    return undefined;
  }
}
