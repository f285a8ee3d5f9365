/**
 * Runs the tickets that this process has issued, each at most once.
 */
import { match } from 'ts-pattern';
import { findKindByName, ServingError, type OperationId, type RequestId } from '../../core';
import type {
  FailedOutcome,
  StoredOutcome,
  ExpiredDeadline,
  OperationRules,
  OperationTicket,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import {
  ContractStore,
  DecisionLog,
  Router,
  ServiceCalls,
  type Assignment,
  type RoutedWork,
  type ServiceCall,
} from '../../services';
import type { OperationResult } from './messages';
import type { TicketTable } from './TicketTable';
import type { WitnessClient } from './WitnessClient';

/** A call under a ticket, on the owner. @internal */
export interface TicketedCall {
  readonly ticket: OperationTicket;
  readonly call: ServiceCall;
  readonly fingerprint: string;
  readonly requestId: RequestId;
  /** Time limit of the call, on this node's clock. */
  readonly deadlineMs: number;
}

/** @internal */
export interface OperationOwnerParameters {
  readonly kernel: Kernel;
  readonly rules: OperationRules;
  readonly ticketTable: TicketTable;
  readonly witnesses: WitnessClient;
}

function fail(kind: FailedOutcome['kind'], detail: string): FailedOutcome {
  return { state: 'failed', kind, detail };
}

const LATE_OUTCOMES = {
  ticket: fail('operation-key-expired', 'The key expired before the call was dispatched.'),
  call: fail('operation-closed', 'The time limit passed before the call was dispatched.'),
} as const satisfies Readonly<Record<ExpiredDeadline, FailedOutcome>>;

/** @internal */
export class OperationOwner {
  private readonly kernel: Kernel;

  private readonly rules: OperationRules;

  private readonly ledger: TicketTable;

  private readonly witnesses: WitnessClient;

  private readonly running = new Map<OperationId, Promise<StoredOutcome>>();

  private isStopped = false;

  constructor({ kernel, rules, ticketTable, witnesses }: OperationOwnerParameters) {
    this.kernel = kernel;
    this.rules = rules;
    this.ledger = ticketTable;
    this.witnesses = witnesses;
  }

  /** Runs the call, joins the running one or repeats the outcome. Never rejects. */
  async run(owned: TicketedCall): Promise<OperationResult> {
    const { ticket, fingerprint } = owned;
    if (this.isStopped) return { state: 'elsewhere', detail: 'The owner is shutting down.' };
    const verdict = this.rules.decideCall({
      self: { vmId: this.kernel.settings.vmId, incarnation: this.kernel.incarnation },
      ticket,
      entry: this.ledger.find(ticket.operationId),
      fingerprint,
      nowMs: this.kernel.clock.nowMs(),
    });
    return match(verdict)
      .with({ verdict: 'start' }, async ({ deadlineMs }) => this.start(owned, deadlineMs))
      .with({ verdict: 'join' }, async () => this.join(owned))
      .with({ verdict: 'repeat' }, async ({ outcome }) => outcome)
      .with({ verdict: 'expire' }, async ({ reason }) =>
        this.keep(owned, fail('operation-key-expired', reason)),
      )
      .with({ verdict: 'reused' }, async ({ reason }): Promise<OperationResult> => ({
        state: 'reused',
        detail: reason,
      }))
      .with({ verdict: 'elsewhere' }, async ({ reason }): Promise<OperationResult> => ({
        state: 'elsewhere',
        detail: reason,
      }))
      .exhaustive();
  }

  /** Refuses further calls; the witnesses answer for the tickets from now on. */
  stop(): void {
    this.isStopped = true;
  }

  /** Resolves when no operation is running. */
  async waitUntilIdle(): Promise<void> {
    while (this.running.size > 0) await Promise.allSettled(this.running.values());
  }

  private async start(owned: TicketedCall, ticketDeadlineMs: number): Promise<StoredOutcome> {
    const { operationId } = owned.ticket;
    if (!this.ledger.canRun) {
      return this.keep(owned, fail('operation-closed', 'The node runs too many operations.'));
    }
    this.ledger.begin(operationId, owned.fingerprint, ticketDeadlineMs);
    // The run belongs to the ticket, not to the caller that began it, and so outlives that caller.
    const run = this.runOnce(owned, ticketDeadlineMs).then((outcome) => this.keep(owned, outcome));
    this.running.set(operationId, run);
    return run.finally(() => this.running.delete(operationId));
  }

  private async join(owned: TicketedCall): Promise<OperationResult> {
    const { operationId } = owned.ticket;
    this.record(owned, 'wait', 'the operation is already running; the call joins it');
    return this.running.get(operationId) ?? { state: 'elsewhere', detail: 'Nothing is running.' };
  }

  /** Every way out before the dispatch ends the ticket, so that `not-run` stays true. */
  private async runOnce(owned: TicketedCall, ticketDeadlineMs: number): Promise<StoredOutcome> {
    let assignment: Assignment;
    try {
      assignment = await this.assign(owned);
    } catch (thrown) {
      return fail('operation-closed', ServingError.from(thrown).detail);
    }
    try {
      const obstacle = await this.witnesses.findGrantRefusal(owned.ticket, owned.fingerprint);
      if (obstacle !== undefined) return fail('operation-closed', obstacle);
      const lateness = this.rules.findExpiredDeadline({
        nowMs: this.kernel.clock.nowMs(),
        ticketDeadlineMs,
        callDeadlineMs: owned.deadlineMs,
      });
      if (lateness) return LATE_OUTCOMES[lateness];
      return await this.dispatch(owned, assignment, Math.min(ticketDeadlineMs, owned.deadlineMs));
    } finally {
      assignment.release({ complete: true, outputTokens: 0 });
    }
  }

  private async dispatch(
    owned: TicketedCall,
    { endpoint }: Assignment,
    sendDeadlineMs: number,
  ): Promise<StoredOutcome> {
    const witnesses = owned.ticket.witnesses.map(({ vmId }) => vmId).join(', ') || 'no witness';
    this.record(owned, 'admit', `granted by ${witnesses}; dispatched once`, endpoint.endpointId);
    try {
      const calls = this.kernel.get(ServiceCalls);
      const { deadlineMs, call } = owned;
      const answer = await calls.sendOnce(endpoint, call, deadlineMs, sendDeadlineMs);
      return { state: 'answered', answer };
    } catch (thrown) {
      const error = ServingError.from(thrown);
      return error.kind === 'endpoint-unreachable'
        ? fail('operation-closed', `${error.detail} Nothing was sent to it.`)
        : fail('outcome-unknown', error.detail);
    }
  }

  private async assign({ ticket, requestId, deadlineMs }: TicketedCall): Promise<Assignment> {
    const inForce = this.kernel.get(ContractStore).find(ticket.customer);
    const clause = inForce && findKindByName(inForce.contract, ticket.kindOfWork);
    if (!inForce || clause?.kind.type !== 'call') {
      throw new ServingError('unknown-kind-of-work', {
        detail: `The contract has no kind of work ${ticket.kindOfWork} any more.`,
      });
    }
    const work: RoutedWork = {
      requestId,
      inForce,
      clause,
      promptTokens: 0,
      prefixHash: undefined,
      excluded: [],
    };
    const waitMs = Math.max(1, Math.ceil(deadlineMs - this.kernel.clock.nowMs()));
    return this.kernel.get(Router).assign(work, AbortSignal.timeout(waitMs));
  }

  private keep(owned: TicketedCall, outcome: StoredOutcome): StoredOutcome {
    const { ticket } = owned;
    // A ticket that expired unused was bound to no call.
    const fingerprint =
      this.ledger.find(ticket.operationId)?.current.state === 'running'
        ? owned.fingerprint
        : undefined;
    this.ledger.end(ticket.operationId, fingerprint, outcome);
    this.witnesses.report(ticket, fingerprint, outcome);
    if (outcome.state === 'answered') this.record(owned, 'finish', 'the service answered');
    else this.record(owned, 'refuse', `${outcome.kind}: ${outcome.detail}`);
    return outcome;
  }

  private record(
    { ticket, requestId }: TicketedCall,
    step: 'admit' | 'wait' | 'refuse' | 'finish',
    reason: string,
    chosen?: string,
  ): void {
    const { customer, kindOfWork } = ticket;
    this.kernel
      .get(DecisionLog)
      .record({ requestId, customer, kindOfWork, step, reason, ...(chosen ? { chosen } : {}) });
  }
}
