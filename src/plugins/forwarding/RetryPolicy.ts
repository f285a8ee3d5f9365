/**
 * Decides whether a request may be retried, by its route and by the retry budget of the service.
 */
import { RetryBudget } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, Members } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import type { NodeDrain } from './NodeDrain';

/** @internal */
export class RetryPolicy {
  private readonly budget: RetryBudget;

  constructor(
    private readonly kernel: Kernel,
    private readonly drain: NodeDrain,
  ) {
    this.budget = new RetryBudget(kernel.get(Deployment).bounds);
  }

  recordRequest(service: string): void {
    this.budget.recordRequest(service, this.kernel.clock.nowMs());
  }

  /** Consumes one retry from the budget if the request may be sent to another endpoint. */
  takeRetry(admitted: AdmittedRequest): boolean {
    const { route, triedEndpoints, signal, work, body, request } = admitted;
    if (signal.aborted || triedEndpoints >= route.maxEndpoints) return false;
    // A retry or a hedge late in a shutdown would be cut off.
    if (this.drain.findRefusal(admitted)) return false;
    if (!body.isKept) {
      this.kernel.log.info('decision', {
        requestId: request.requestId,
        step: 'retry',
        outcome: body.missingReason,
      });
      return false;
    }
    return this.takeFromBudget(work.service);
  }

  /** Consumes one retry from the budget of a service. */
  takeFromBudget(service: string): boolean {
    const nodes = this.kernel.get(Members).countSharingNodes();
    const isTaken = this.budget.tryConsume(service, this.kernel.clock.nowMs(), nodes);
    if (!isTaken) {
      this.kernel.log.info('decision', { step: 'retry', service, outcome: 'no budget' });
    }
    return isTaken;
  }
}
