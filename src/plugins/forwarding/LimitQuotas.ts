/**
 * The quotas of endpoints that have named a rate limit, divided among the live nodes.
 */
import { computeLimitQuota } from '../../decisions';
import type { KnownBackEnd } from '../../services';
import type { LiveRoster } from './LiveRoster';
import type { NamedLimits } from './NamedLimits';
import { QuotaSource, type QuotaInForce } from './QuotaSource';

/** @internal */
export class LimitQuotas extends QuotaSource {
  constructor(
    private readonly roster: LiveRoster,
    private readonly limits: NamedLimits,
  ) {
    super();
  }

  override find(backEnd: KnownBackEnd): QuotaInForce | undefined {
    const requestsPerSecond = this.limits.find(backEnd);
    if (requestsPerSecond === undefined) return undefined;
    const roster = this.roster.describe();
    return { ...computeLimitQuota(requestsPerSecond), roster, endsAtMs: Infinity };
  }
}
