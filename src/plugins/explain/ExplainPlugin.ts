/**
 * Answers why a request waited, slowed down or was refused.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { DecisionLog } from '../../services';
import { KeptDecisions } from './KeptDecisions';

/** @internal */
export class ExplainPlugin extends Plugin {
  static override readonly type = 'explain';

  override setUp(): void {
    this.kernel.provide(DecisionLog, new KeptDecisions(this.kernel.clock, this.kernel.log));
  }
}

registerPlugin(ExplainPlugin);
