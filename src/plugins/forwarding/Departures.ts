/**
 * Tells endpoints that leave as planned from those that crash.
 */
import type { Kernel } from '../../kernel';
import { Deployment, type KnownBackEnd } from '../../services';
import { FORWARDING_OPTIONS } from './options';

/** @internal */
export class Departures {
  constructor(private readonly kernel: Kernel) {}

  /** Whether the endpoint may have ended as planned: it is gone, or was told to leave a while ago. */
  isDeparting({ endpointId }: KnownBackEnd): boolean {
    const known = this.kernel.get(Deployment).find(endpointId);
    if (!known) return true;
    const leavingForMs = this.kernel.clock.nowMs() - (known.leavingSinceMs ?? Infinity);
    return leavingForMs >= FORWARDING_OPTIONS.minDepartureMs;
  }
}
