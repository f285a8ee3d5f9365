/**
 * Implements operations with signed tickets: the node that issued a ticket owns it and runs its call,
 * and witnesses settle the ticket when the owner can't be reached.
 */
import {
  createOperationId,
  findKindByName,
  ServingError,
  signToken,
  verifyToken,
  type CustomerId,
} from '../../core';
import {
  computeCallFingerprint,
  operationTicketSchema,
  type CloseVerdict,
  type OperationRules,
  type OperationTicket,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import {
  ContractStore,
  DecisionLog,
  Operations,
  type CallContext,
  type IssuedTicket,
  type OperationOutcome,
  type ServiceAnswer,
  type ServiceCall,
} from '../../services';
import {
  findReplySchema,
  operationResultSchema,
  type FindReply,
  type OperationResult,
} from './messages';
import type { TicketTable } from './TicketTable';
import { PeerClient } from './PeerClient';
import type { OperationOwner } from './OperationOwner';
import type { OperationOptions } from './options';
import type { WitnessClient } from './WitnessClient';
import type { ReservationTable } from './ReservationTable';

const TOKEN_PURPOSE = 'operation';

/** @internal */
export interface TicketedOperationsParameters {
  readonly kernel: Kernel;
  readonly rules: OperationRules;
  readonly options: OperationOptions;
  readonly ticketTable: TicketTable;
  readonly reservationTable: ReservationTable;
  readonly owner: OperationOwner;
  readonly witnesses: WitnessClient;
}

interface PendingCall {
  readonly key: string;
  readonly ticket: OperationTicket;
  readonly call: ServiceCall;
  readonly fingerprint: string;
  readonly context: CallContext;
}

function toResult(verdict: CloseVerdict): OperationResult {
  if (verdict.verdict === 'ended') return verdict.outcome;
  const detail = verdict.reason;
  if (verdict.verdict === 'reused') return { state: 'reused', detail };
  const kind = verdict.verdict === 'closed' ? 'operation-closed' : 'outcome-unknown';
  return { state: 'failed', kind, detail };
}

function toOutcome(reply: FindReply | undefined): OperationOutcome {
  if (reply?.state !== 'ended') {
    return { state: !reply || reply.state === 'elsewhere' ? 'unknown' : reply.state };
  }
  if (reply.outcome.state === 'answered') return reply.outcome;
  return { state: reply.outcome.kind === 'outcome-unknown' ? 'unknown' : 'closed' };
}

/** @internal */
export class TicketedOperations extends Operations {
  private readonly peerClient: PeerClient;

  constructor(private readonly dependencies: TicketedOperationsParameters) {
    super();
    this.peerClient = new PeerClient(dependencies.kernel);
  }

  async issueTicket(customer: CustomerId, kindOfWork: string): Promise<IssuedTicket> {
    const { kernel, ticketTable, options, witnesses } = this.dependencies;
    this.assertMayIssue(customer, kindOfWork);
    const deadlineMs = kernel.clock.nowMs() + options.ticketLifetimeMs;
    const reservations = await witnesses.reserve(options.ticketLifetimeMs);
    // The node may have started to drain, or its table may have filled up, during the reservations.
    this.assertMayIssue(customer, kindOfWork);
    const ticket: OperationTicket = {
      operationId: createOperationId(),
      owner: { vmId: kernel.settings.vmId, incarnation: kernel.incarnation },
      witnesses: reservations,
      customer,
      kindOfWork,
    };
    ticketTable.add(ticket.operationId, deadlineMs);
    kernel.log.info('operation key issued', {
      operationId: ticket.operationId,
      customer,
      kindOfWork,
      witnesses: reservations.map(({ vmId }) => vmId),
    });
    return {
      key: signToken(kernel.settings.fleetKey, TOKEN_PURPOSE, ticket),
      expiresInMs: Math.max(0, deadlineMs - kernel.clock.nowMs()),
    };
  }

  async run(key: string, call: ServiceCall, context: CallContext): Promise<ServiceAnswer> {
    const kindOfWork = context.clause.kind.name;
    const ticket = this.readTicket(key, context.inForce.contract.customer);
    const fingerprint = computeCallFingerprint({ ...call, kindOfWork });
    const result =
      ticket.kindOfWork === kindOfWork
        ? await this.resolve({ key, ticket, call, fingerprint, context })
        : { state: 'reused' as const, detail: `The key was issued for ${ticket.kindOfWork}.` };
    if (result.state === 'answered') return result.answer;
    const kind = result.state === 'failed' ? result.kind : 'operation-key-reused';
    throw new ServingError(kind, { detail: result.detail, clause: context.clause.path });
  }

  async find(key: string, customer: CustomerId): Promise<OperationOutcome> {
    const ticket = this.readTicket(key, customer);
    const { witnesses, options } = this.dependencies;
    const here = this.findLocal(key);
    if (here.state !== 'elsewhere' && this.isOwnTicket(ticket)) return toOutcome(here);
    const message = { type: 'operation.find', body: { key } };
    const reply = this.isOnThisVm(ticket)
      ? undefined
      : await this.peerClient.request(
          ticket.owner.vmId,
          message,
          findReplySchema,
          options.witnessTimeoutMs,
        );
    if (reply && reply.state !== 'elsewhere') return toOutcome(reply);
    return toOutcome(await witnesses.find(key, ticket, () => this.findLocal(key)));
  }

  /** Returns the state of a ticket that this node holds as owner or witness. */
  findLocal(key: string): FindReply {
    const { ticketTable, reservationTable, kernel } = this.dependencies;
    const ticket = this.readTicket(key);
    if (this.isOwnTicket(ticket)) {
      const entry = ticketTable.find(ticket.operationId);
      if (!entry) return { state: 'elsewhere' };
      const { current } = entry;
      if (current.state === 'open' && entry.deadlineMs <= kernel.clock.nowMs()) {
        return { state: 'closed' };
      }
      return current.state === 'ended' ? { state: 'ended', outcome: current.outcome } : current;
    }
    const reservation = ticket.witnesses.find(({ vmId }) => vmId === kernel.settings.vmId);
    const witnessState = reservation && reservationTable.find(reservation);
    if (!witnessState) return { state: 'elsewhere' };
    if (witnessState.state === 'ended') return { state: 'ended', outcome: witnessState.outcome };
    return { state: witnessState.state === 'granted' ? 'unknown' : witnessState.state };
  }

  /** @throws ServingError `invalid-token` for a forged key or another customer's key. */
  readTicket(key: string, customer?: CustomerId): OperationTicket {
    const { fleetKey } = this.dependencies.kernel.settings;
    const ticket = verifyToken(fleetKey, TOKEN_PURPOSE, key, operationTicketSchema);
    if (customer !== undefined && ticket.customer !== customer) {
      throw new ServingError('invalid-token', {
        detail: 'The operation key belongs to another customer.',
      });
    }
    return ticket;
  }

  private assertMayIssue(customer: CustomerId, kindOfWork: string): void {
    const { kernel, ticketTable } = this.dependencies;
    if (kernel.state === 'starting') {
      throw new ServingError('not-ready', { detail: 'The node is starting.' });
    }
    if (kernel.state !== 'serving') {
      throw new ServingError('draining', { detail: 'The node issues no more operation keys.' });
    }
    const contract = kernel.get(ContractStore).find(customer)?.contract;
    const found = contract && findKindByName(contract, kindOfWork);
    if (found?.kind.type !== 'call' || found.kind.repeatable) {
      throw new ServingError('unknown-kind-of-work', {
        detail: `The contract has no call ${kindOfWork} that needs an operation key.`,
      });
    }
    if (!ticketTable.hasRoom) {
      throw new ServingError('overloaded', { detail: 'The node holds too many operation keys.' });
    }
  }

  /** Runs the call at the owner; if the owner can't answer, closes the ticket at the witnesses. */
  private async resolve(
    pending: PendingCall,
  ): Promise<Exclude<OperationResult, { state: 'elsewhere' }>> {
    const { ticket, fingerprint } = pending;
    const result = await this.runAtOwner(pending);
    if (result && result.state !== 'elsewhere') return result;
    const verdict = await this.dependencies.witnesses.close(ticket, fingerprint);
    const reason = result?.detail ?? 'The owner gave no reply.';
    const chosen = ticket.witnesses.map(({ vmId }) => vmId).join(', ') || undefined;
    this.record(pending, 'retry', `${reason} Asked the witnesses: ${verdict.verdict}.`, chosen);
    const closed = toResult(verdict);
    return closed.state === 'elsewhere'
      ? { state: 'failed', kind: 'outcome-unknown', detail: closed.detail }
      : closed;
  }

  private async runAtOwner(pending: PendingCall): Promise<OperationResult | undefined> {
    const { key, ticket, call, fingerprint, context } = pending;
    const { kernel, owner, options } = this.dependencies;
    const { requestId } = context;
    const remainingMs = context.clause.kind.answerWithinMs;
    if (this.isOnThisVm(ticket)) {
      const deadlineMs = kernel.clock.nowMs() + remainingMs;
      return owner.run({ ticket, call, fingerprint, requestId, deadlineMs });
    }
    this.record(pending, 'route', 'the node that issued the key runs the call', ticket.owner.vmId);
    const body = { key, kindOfWork: context.clause.kind.name, call, requestId, remainingMs };
    return this.peerClient.request(
      ticket.owner.vmId,
      { type: 'operation.run', body },
      operationResultSchema,
      remainingMs + options.ownerReplyMarginMs,
    );
  }

  private isOnThisVm({ owner }: OperationTicket): boolean {
    return owner.vmId === this.dependencies.kernel.settings.vmId;
  }

  private isOwnTicket(ticket: OperationTicket): boolean {
    const { kernel, rules } = this.dependencies;
    const self = { vmId: kernel.settings.vmId, incarnation: kernel.incarnation };
    return rules.isSameProcess(ticket.owner, self);
  }

  private record(
    { ticket, context }: PendingCall,
    step: 'route' | 'retry',
    reason: string,
    chosen: string | undefined,
  ): void {
    this.dependencies.kernel.get(DecisionLog).record({
      requestId: context.requestId,
      customer: ticket.customer,
      kindOfWork: ticket.kindOfWork,
      contractRevision: context.inForce.revision,
      clause: context.clause.path,
      step,
      reason,
      ...(chosen === undefined ? {} : { chosen }),
    });
  }
}
