/**
 * Operator route that explains why a request waited, slowed down or was refused.
 */
import type { Hono } from 'hono';
import { requestIdSchema } from '../../core';
import { describeDecision } from '../../decisions';
import type { DecisionLog } from '../../services';
import { OperatorRoutes } from '../../wire';

/** @internal */
export class DecisionRoutes extends OperatorRoutes {
  constructor(private readonly decisions: DecisionLog) {
    super();
  }

  mount(app: Hono): void {
    app.get('/v1/decisions/:requestId', async (context) => {
      const requestId = requestIdSchema.safeParse(context.req.param('requestId'));
      if (!requestId.success) return context.json({ fault: 'not a request id' }, 400);
      const decisions = await this.decisions.find(requestId.data);
      const plainWords = decisions.map(describeDecision);
      return context.json({ decisions, plainWords }, decisions.length > 0 ? 200 : 404);
    });
  }
}
