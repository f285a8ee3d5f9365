/**
 * Reads a response of one process of an endpoint.
 *
 * A response without a length or chunks ends with its connection, and so does one whose endpoint has
 * crashed. An endpoint that has started again since listens at the same address, so a probe of the
 * address doesn't tell the two apart.
 */
import { ServingError } from '../../core';
import type { Kernel } from '../../kernel';
import { Deployment, type KnownBackEnd } from '../../services';
import type { EndpointResponse } from './EndpointResponse';

function isRestarted(kernel: Kernel, { endpointId, startedAtWallMs }: KnownBackEnd): boolean {
  const known = kernel.get(Deployment).find(endpointId);
  return known !== undefined && known.startedAtWallMs !== startedAtWallMs;
}

/**
 * Yields the body; throws if it ends before it is complete.
 * @param backEnd the process to which the request was sent.
 * @internal
 */
export async function* readFromProcess(
  kernel: Kernel,
  backEnd: KnownBackEnd,
  response: Pick<EndpointResponse, 'isFramed' | 'read'>,
): AsyncGenerator<Uint8Array> {
  yield* response.read();
  if (response.isFramed || !isRestarted(kernel, backEnd)) return;
  throw new ServingError('endpoint-failed', {
    detail: 'The endpoint had started again when its response, which has no length, ended.',
  });
}
