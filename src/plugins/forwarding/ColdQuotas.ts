/**
 * The quotas of endpoints that are cold after their start, where the configuration limits them.
 */
import type { ServingConfiguration } from '../../core';
import { computeColdQuota } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, Members, type KnownBackEnd } from '../../services';
import { QuotaSource, type QuotaInForce } from './QuotaSource';

/** @internal */
export class ColdQuotas extends QuotaSource {
  constructor(private readonly kernel: Kernel) {
    super();
  }

  override find(
    { endpointId, service, warmUpUntilMs }: KnownBackEnd,
    { services }: ServingConfiguration,
  ): QuotaInForce | undefined {
    const perSecond = services.get(service)?.coldRequestsPerSecond;
    if (perSecond === undefined) return undefined;
    const deployment = this.kernel.get(Deployment);
    // Not by the given state, which may be from when a backup was placed there.
    const endsAtMs = deployment.find(endpointId)?.warmUpUntilMs ?? warmUpUntilMs;
    if (endsAtMs <= this.kernel.clock.nowMs()) return undefined;
    const roster = this.kernel.get(Members).getRoster();
    return { ...computeColdQuota(perSecond, deployment.bounds), roster, endsAtMs };
  }
}
