/** Records a routing verdict in the decision log. */
import type { RoutingVerdict } from '../../decisions';
import type { DecisionLog, RoutedWork } from '../../services';

/** Fields of a verdict that are recorded. */
type RecordedVerdict = Pick<
  RoutingVerdict,
  'outcome' | 'reason' | 'clause' | 'passedOver' | 'measured'
> & {
  readonly endpointId?: string;
};

/** @internal */
export function recordVerdict(
  decisions: DecisionLog,
  { requestId, inForce, clause }: RoutedWork,
  verdict: RecordedVerdict,
  measured: Readonly<Record<string, number>> = {},
): void {
  decisions.record({
    requestId,
    customer: inForce.contract.customer,
    kindOfWork: clause.kind.name,
    contractRevision: inForce.revision,
    clause: verdict.clause,
    step: verdict.outcome,
    chosen: verdict.endpointId,
    passedOver: verdict.passedOver,
    reason: verdict.reason,
    measured: { ...verdict.measured, ...measured },
  });
}
