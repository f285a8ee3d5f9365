/**
 * The quotas of endpoints that have named a rate limit.
 *
 * They are divided among the live nodes. Nodes that are cut off from the others divide a limit once
 * more, and a share is at most what the endpoint takes from all nodes.
 */
import { computeLimitQuota, type NodeRoster } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Members, type KnownBackEnd, type KnownMember } from '../../services';
import type { NamedLimits } from './NamedLimits';
import { QuotaSource, type QuotaInForce } from './QuotaSource';

/** @internal */
export class LimitQuotas extends QuotaSource {
  /** Ranks are computed once for each roster, so it is reused while the list of nodes is. */
  private described:
    { readonly live: ReadonlyArray<KnownMember>; readonly roster: NodeRoster } | undefined;

  constructor(
    private readonly kernel: Kernel,
    private readonly limits: NamedLimits,
  ) {
    super();
  }

  override find(backEnd: KnownBackEnd): QuotaInForce | undefined {
    const requestsPerSecond = this.limits.find(backEnd);
    if (requestsPerSecond === undefined) return undefined;
    const roster = this.describeNodes();
    return { ...computeLimitQuota(requestsPerSecond), roster, endsAtMs: Infinity };
  }

  private describeNodes(): NodeRoster {
    const members = this.kernel.get(Members);
    const live = members.listLive();
    const isComplete = members.hasJoined();
    if (this.described?.live === live && this.described.roster.isComplete === isComplete) {
      return this.described.roster;
    }
    const vmIds = [this.kernel.settings.vmId, ...live.map(({ vmId }) => vmId)];
    const roster = { vmIds, unheardCount: 0, isComplete };
    this.described = { live, roster };
    return roster;
  }
}
