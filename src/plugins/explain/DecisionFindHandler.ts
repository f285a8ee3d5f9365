/**
 * Handles lookups by other nodes of the decisions made on this node.
 */
import * as z from 'zod';
import { requestIdSchema, type Decision } from '../../core';
import { PeerHandler, type DecisionLog, type Peer } from '../../services';

const findSchema = z.object({ requestId: requestIdSchema }).readonly();

/** @internal */
export class DecisionFindHandler extends PeerHandler<typeof findSchema> {
  readonly type = 'decision.find';

  readonly schema = findSchema;

  constructor(private readonly decisions: DecisionLog) {
    super();
  }

  async handle(
    _from: Peer,
    { requestId }: z.infer<typeof findSchema>,
  ): Promise<ReadonlyArray<Decision>> {
    return this.decisions.findLocal(requestId);
  }
}
