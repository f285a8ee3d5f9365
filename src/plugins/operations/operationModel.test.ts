import fc from 'fast-check';
import { modelRunArbitrary, OperationModel, type ModelRun } from '../../../tests/operationModel';
import {
  OperationRules,
  type CloseVerdict,
  type NodeProcess,
  type WitnessReservation,
} from '../../decisions';

class WithoutGrant extends OperationRules {
  override listRequiredWitnesses(): ReadonlyArray<WitnessReservation> {
    return [];
  }
}

/** Whether the ticket names an earlier process on the same VM. */
function isPredecessor(named: NodeProcess, self: NodeProcess): boolean {
  return named.vmId === self.vmId && named.incarnation !== self.incarnation;
}

class WithoutOwnerIncarnation extends OperationRules {
  override isAuthoritative(named: NodeProcess, self: NodeProcess, isHeld: boolean): boolean {
    const isOwner = !('reservationId' in named);
    return (isOwner && isPredecessor(named, self)) || super.isAuthoritative(named, self, isHeld);
  }
}

class WithoutWitnessIncarnation extends OperationRules {
  override isAuthoritative(named: NodeProcess, self: NodeProcess, isHeld: boolean): boolean {
    const isWitness = 'reservationId' in named;
    return (isWitness && isPredecessor(named, self)) || super.isAuthoritative(named, self, isHeld);
  }
}

class WithoutDeadline extends OperationRules {
  override findExpiredDeadline(): undefined {}
}

class WithoutClosing extends OperationRules {
  override decideClose(...view: Parameters<OperationRules['decideClose']>): CloseVerdict {
    const verdict = super.decideClose(...view);
    return verdict.verdict === 'closed' ? { ...verdict, next: undefined } : verdict;
  }
}

async function findCounterexample(rules: OperationRules): Promise<fc.RunDetails<[ModelRun]>> {
  const property = fc.asyncProperty(modelRunArbitrary, async (run) => {
    const faults = await new OperationModel(run, rules).findViolations();
    if (faults.length > 0) throw new Error(faults.join('; '));
  });
  return fc.check(property, { seed: 20_261, numRuns: 3_000 });
}

// Guards against a second run, a false `not-run`, a changed answer and a dispatch past the deadline.
test('guarantees hold in any interleaving', async () => {
  const details = await findCounterexample(new OperationRules());
  expect(details.failed ? fc.defaultReportMessage(details) : undefined).toBeUndefined();
}, 300_000);

// Guards against a model too weak to detect a missing mechanism.
test.each([
  { name: 'witness grant', rules: new WithoutGrant() },
  { name: 'incarnation check at the owner', rules: new WithoutOwnerIncarnation() },
  { name: 'incarnation check at the witness', rules: new WithoutWitnessIncarnation() },
  { name: 'deadline check after the grant', rules: new WithoutDeadline() },
  { name: 'closing at the witness', rules: new WithoutClosing() },
])(
  'fails without $name',
  async ({ rules }) => {
    const details = await findCounterexample(rules);
    if (process.env.SHOW_COUNTEREXAMPLES) {
      process.stdout.write(`${fc.defaultReportMessage(details)}
${String(details.errorInstance)}
`);
    }
    expect(details.failed).toBe(true);
  },
  300_000,
);
