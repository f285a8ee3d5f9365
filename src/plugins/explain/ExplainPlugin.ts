/**
 * Records decisions and explains why a request waited, slowed down or was refused.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { DecisionLog, HttpRoutes, PeerHandler } from '../../services';
import { DecisionFindHandler } from './DecisionFindHandler';
import { DecisionRoutes } from './DecisionRoutes';
import { InMemoryDecisionLog } from './InMemoryDecisionLog';

/** @internal */
export class ExplainPlugin extends Plugin {
  static override readonly type = 'explain';

  override setUp(): void {
    const decisions = new InMemoryDecisionLog(this.kernel);
    this.kernel.provide(DecisionLog, decisions);
    this.kernel.provide(HttpRoutes, new DecisionRoutes(decisions));
    this.kernel.provide(PeerHandler, new DecisionFindHandler(decisions));
  }
}

registerPlugin(ExplainPlugin);
