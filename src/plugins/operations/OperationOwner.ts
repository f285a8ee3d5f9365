/**
 * Runs calls under the tickets that this process has issued, at most once per ticket.
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

function createFailure(kind: FailedOutcome['kind'], detail: string): FailedOutcome {
  return { state: 'failed', kind, detail };
}

const EXPIRED_OUTCOMES = {
  ticket: createFailure('operation-key-expired', 'The key expired before the call was dispatched.'),
  call: createFailure('operation-closed', 'The time limit passed before the call was dispatched.'),
} as const satisfies Readonly<Record<ExpiredDeadline, FailedOutcome>>;

/** @internal */
export class OperationOwner {
  private readonly kernel: Kernel;

  private readonly rules: OperationRules;

  private readonly ticketTable: TicketTable;

  private readonly witnesses: WitnessClient;

  private readonly running = new Map<OperationId, Promise<StoredOutcome>>();

  private isStopped = false;

  constructor({ kernel, rules, ticketTable, witnesses }: OperationOwnerParameters) {
    this.kernel = kernel;
    this.rules = rules;
    this.ticketTable = ticketTable;
    this.witnesses = witnesses;
  }

  /** Runs the call, joins a running one or returns the stored outcome. Never rejects. */
  async run(ticketedCall: TicketedCall): Promise<OperationResult> {
    const { ticket, fingerprint } = ticketedCall;
    if (this.isStopped) return { state: 'elsewhere', detail: 'The owner is shutting down.' };
    const verdict = this.rules.decideCall({
      self: { vmId: this.kernel.settings.vmId, incarnation: this.kernel.incarnation },
      ticket,
      entry: this.ticketTable.find(ticket.operationId),
      fingerprint,
      nowMs: this.kernel.clock.nowMs(),
    });
    return match(verdict)
      .with({ verdict: 'start' }, async ({ deadlineMs }) => this.start(ticketedCall, deadlineMs))
      .with({ verdict: 'join' }, async () => this.join(ticketedCall))
      .with({ verdict: 'repeat' }, async ({ outcome }) => outcome)
      .with({ verdict: 'expire' }, async ({ reason }) =>
        this.complete(ticketedCall, createFailure('operation-key-expired', reason)),
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

  /** Refuses further calls; from now on callers must resolve the tickets at the witnesses. */
  stop(): void {
    this.isStopped = true;
  }

  /** Resolves when no operation is running. */
  async waitUntilIdle(): Promise<void> {
    while (this.running.size > 0) await Promise.allSettled(this.running.values());
  }

  private async start(
    ticketedCall: TicketedCall,
    ticketDeadlineMs: number,
  ): Promise<StoredOutcome> {
    const { operationId } = ticketedCall.ticket;
    if (!this.ticketTable.canRun) {
      return this.complete(
        ticketedCall,
        createFailure('operation-closed', 'The node runs too many operations.'),
      );
    }
    this.ticketTable.begin(operationId, ticketedCall.fingerprint, ticketDeadlineMs);
    // The run belongs to the ticket, so it continues when the caller that started it disconnects.
    const run = this.runOnce(ticketedCall, ticketDeadlineMs).then((outcome) =>
      this.complete(ticketedCall, outcome),
    );
    this.running.set(operationId, run);
    return run.finally(() => this.running.delete(operationId));
  }

  private async join(ticketedCall: TicketedCall): Promise<OperationResult> {
    const { operationId } = ticketedCall.ticket;
    this.record(ticketedCall, 'wait', 'the operation is already running; the call joins it');
    return (
      this.running.get(operationId) ?? {
        state: 'elsewhere',
        detail: 'The operation is not running.',
      }
    );
  }

  /** Each return before the dispatch ends the ticket, so that a reported `not-run` stays true. */
  private async runOnce(
    ticketedCall: TicketedCall,
    ticketDeadlineMs: number,
  ): Promise<StoredOutcome> {
    let assignment: Assignment;
    try {
      assignment = await this.assign(ticketedCall);
    } catch (thrown) {
      return createFailure('operation-closed', ServingError.from(thrown).detail);
    }
    try {
      const refusal = await this.witnesses.findGrantRefusal(
        ticketedCall.ticket,
        ticketedCall.fingerprint,
      );
      if (refusal !== undefined) return createFailure('operation-closed', refusal);
      const expiredDeadline = this.rules.findExpiredDeadline({
        nowMs: this.kernel.clock.nowMs(),
        ticketDeadlineMs,
        callDeadlineMs: ticketedCall.deadlineMs,
      });
      if (expiredDeadline) return EXPIRED_OUTCOMES[expiredDeadline];
      return await this.dispatch(
        ticketedCall,
        assignment,
        Math.min(ticketDeadlineMs, ticketedCall.deadlineMs),
      );
    } finally {
      assignment.release({ complete: true, outputTokens: 0 });
    }
  }

  private async dispatch(
    ticketedCall: TicketedCall,
    { endpoint }: Assignment,
    sendDeadlineMs: number,
  ): Promise<StoredOutcome> {
    const witnesses =
      ticketedCall.ticket.witnesses.map(({ vmId }) => vmId).join(', ') || 'no witness';
    this.record(
      ticketedCall,
      'admit',
      `granted by ${witnesses}; dispatched once`,
      endpoint.endpointId,
    );
    try {
      const calls = this.kernel.get(ServiceCalls);
      const { deadlineMs, call } = ticketedCall;
      const answer = await calls.sendOnce(endpoint, call, deadlineMs, sendDeadlineMs);
      return { state: 'answered', answer };
    } catch (thrown) {
      const error = ServingError.from(thrown);
      return error.kind === 'endpoint-unreachable'
        ? createFailure('operation-closed', `${error.detail} Nothing was sent to it.`)
        : createFailure('outcome-unknown', error.detail);
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

  private complete(ticketedCall: TicketedCall, outcome: StoredOutcome): StoredOutcome {
    const { ticket } = ticketedCall;
    // A ticket that expired unused was never bound to a call.
    const fingerprint =
      this.ticketTable.find(ticket.operationId)?.current.state === 'running'
        ? ticketedCall.fingerprint
        : undefined;
    this.ticketTable.end(ticket.operationId, fingerprint, outcome);
    this.witnesses.report(ticket, fingerprint, outcome);
    if (outcome.state === 'answered') this.record(ticketedCall, 'finish', 'the service answered');
    else this.record(ticketedCall, 'refuse', `${outcome.kind}: ${outcome.detail}`);
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
