/**
 * What owners and other nodes ask of the witnesses of a ticket.
 */
import type { z } from 'zod';
import type { VmId } from '../../core';
import {
  orderWitnesses,
  type CloseVerdict,
  type StoredOutcome,
  type OperationRules,
  type OperationTicket,
  type WitnessReservation,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Fleet } from '../../services';
import {
  closeReplySchema,
  findReplySchema,
  grantReplySchema,
  outcomeReplySchema,
  reserveReplySchema,
  type FindReply,
} from './messages';
import { PeerClient } from './PeerClient';
import type { OperationOptions } from './options';
import type { ReservationTable } from './ReservationTable';

/** @internal */
export interface WitnessClientParameters {
  readonly kernel: Kernel;
  readonly rules: OperationRules;
  readonly options: OperationOptions;
  /** This node's own reservations, for tickets that it witnesses itself. */
  readonly reservationTable: ReservationTable;
}

/** @internal */
export class WitnessClient {
  private readonly kernel: Kernel;

  private readonly rules: OperationRules;

  private readonly options: OperationOptions;

  private readonly witnessLedger: ReservationTable;

  private readonly links: PeerClient;

  private turn = 0;

  /** Reports under way, for the drain. */
  private readonly reports = new Set<Promise<void>>();

  constructor({ kernel, rules, options, reservationTable }: WitnessClientParameters) {
    this.kernel = kernel;
    this.rules = rules;
    this.options = options;
    this.witnessLedger = reservationTable;
    this.links = new PeerClient(kernel);
  }

  /** Reserves a new ticket at as many witnesses as can be had, up to the number of the options. */
  async reserve(remainingMs: number): Promise<ReadonlyArray<WitnessReservation>> {
    let candidates = this.listCandidates().slice(0, this.options.reserveAttempts);
    let held: ReadonlyArray<WitnessReservation> = [];
    while (held.length < this.options.witnessCount && candidates.length > 0) {
      const missing = this.options.witnessCount - held.length;
      const asked = candidates.slice(0, missing);
      candidates = candidates.slice(missing);
      const replies = await Promise.all(
        asked.map(async (vmId) => this.reserveAt(vmId, remainingMs)),
      );
      held = [...held, ...replies.filter((reservation) => reservation !== undefined)];
    }
    return held;
  }

  /** Returns why the ticket may not be dispatched, or undefined when every witness granted it. */
  async findGrantRefusal(
    ticket: OperationTicket,
    fingerprint: string,
  ): Promise<string | undefined> {
    const grantors = this.rules.listRequiredWitnesses(ticket);
    const replies = await Promise.all(
      grantors.map(async (reservation) =>
        this.ask('operation.grant', reservation, { reservation, fingerprint }, grantReplySchema),
      ),
    );
    return replies
      .map((reply) => reply ?? { granted: false, reason: 'A witness could not be reached.' })
      .find(({ granted }) => !granted)?.reason;
  }

  /** Closes the ticket for a node that can't reach its owner, or learns how it ended. */
  async close(ticket: OperationTicket, fingerprint: string): Promise<CloseVerdict> {
    const self = this.identify();
    const verdicts = await Promise.all(
      ticket.witnesses.map(async (reservation): Promise<CloseVerdict> => {
        if (reservation.vmId === self.vmId) {
          return this.witnessLedger.close(self, reservation, fingerprint);
        }
        const body = { reservation, fingerprint };
        const reply = await this.ask('operation.close', reservation, body, closeReplySchema);
        return reply ?? { verdict: 'unknown', reason: 'The witness could not be reached.' };
      }),
    );
    return this.rules.mergeCloseVerdicts(verdicts);
  }

  /** What the witnesses know of a ticket, without a change; undefined when none knows it. */
  async find(
    key: string,
    ticket: OperationTicket,
    findHere: () => FindReply,
  ): Promise<FindReply | undefined> {
    const replies = await Promise.all(
      ticket.witnesses.map(async ({ vmId }) =>
        vmId === this.identify().vmId
          ? findHere()
          : this.links.request(
              vmId,
              { type: 'operation.find', body: { key } },
              findReplySchema,
              this.options.witnessTimeoutMs,
            ),
      ),
    );
    const order: ReadonlyArray<FindReply['state']> = ['ended', 'closed', 'running', 'open'];
    return order
      .map((wanted) => replies.find((reply) => reply?.state === wanted))
      .find((reply) => reply !== undefined);
  }

  /** Reports an outcome to each witness in the background, until it is acknowledged. */
  report(ticket: OperationTicket, fingerprint: string | undefined, outcome: StoredOutcome): void {
    ticket.witnesses.forEach((reservation) => {
      const body = { reservation, fingerprint, outcome };
      this.kernel.runTask('report operation', async (signal) => {
        const report = this.reportTo(reservation, body, signal);
        this.reports.add(report);
        await report.finally(() => this.reports.delete(report));
      });
    });
  }

  /** Resolves when no report is under way. */
  async waitUntilIdle(): Promise<void> {
    while (this.reports.size > 0) await Promise.allSettled(this.reports);
  }

  private async reportTo(
    reservation: WitnessReservation,
    body: unknown,
    signal: AbortSignal,
  ): Promise<void> {
    let delayMs = this.options.reportRetryDelayMs;
    for (let attempt = 0; attempt < this.options.reportAttempts; attempt++) {
      const reply = await this.ask('operation.outcome', reservation, body, outcomeReplySchema);
      if (reply || signal.aborted) return;
      await this.kernel.clock.sleep(delayMs, signal);
      delayMs *= 2;
    }
  }

  private async reserveAt(
    vmId: VmId,
    remainingMs: number,
  ): Promise<WitnessReservation | undefined> {
    const message = { type: 'operation.reserve', body: { remainingMs } };
    const timeoutMs = this.options.witnessTimeoutMs;
    const reply = await this.links.request(vmId, message, reserveReplySchema, timeoutMs);
    return reply?.reservation && { vmId, ...reply.reservation };
  }

  private async ask<S extends z.ZodType>(
    type: string,
    { vmId }: WitnessReservation,
    body: unknown,
    schema: S,
  ): Promise<z.infer<S> | undefined> {
    return this.links.request(vmId, { type, body }, schema, this.options.witnessTimeoutMs);
  }

  private identify(): { readonly vmId: VmId; readonly incarnation: Kernel['incarnation'] } {
    return { vmId: this.kernel.settings.vmId, incarnation: this.kernel.incarnation };
  }

  private listCandidates(): ReadonlyArray<VmId> {
    this.turn += 1;
    const listed = this.kernel
      .get(Fleet)
      .listNodes()
      .filter(({ vm }) => vm.state === 'live');
    // Nodes that weren't heard of lately come last; a reservation that they confirm is as good.
    return (['serving', 'unknown'] as const).flatMap((wanted) => {
      const candidates = listed.filter(({ state }) => state === wanted).map(({ vm }) => vm);
      return orderWitnesses(this.kernel.settings, candidates, this.turn);
    });
  }
}
