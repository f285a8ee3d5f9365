/**
 * A way to answer an admitted request.
 */
import type { AdmittedRequest } from './AdmittedRequest';

/** @internal */
export abstract class RequestDelivery {
  /** @throws ServingError when the request has no complete answer. */
  abstract deliver(admitted: AdmittedRequest): Promise<void>;
}
