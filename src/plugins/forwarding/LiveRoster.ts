/**
 * The live nodes, among which a quota is divided. Nodes that are cut off from the others divide it once
 * more, and a share is at most what the endpoint takes from all nodes.
 */
import type { NodeRoster } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Members, type KnownMember } from '../../services';

/** @internal */
export class LiveRoster {
  /** Ranks are computed once for each roster, so it is reused while the list of nodes is. */
  private described:
    { readonly live: ReadonlyArray<KnownMember>; readonly roster: NodeRoster } | undefined;

  constructor(private readonly kernel: Kernel) {}

  describe(): NodeRoster {
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
