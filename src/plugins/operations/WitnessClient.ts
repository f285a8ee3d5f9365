/**
 * Client side of the messages that owners and other nodes send to the witnesses of a ticket.
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
  /** Reservations at this node, for tickets that it witnesses itself. */
  readonly reservationTable: ReservationTable;
}

/** @internal */
export class WitnessClient {
  private readonly kernel: Kernel;

  private readonly rules: OperationRules;

  private readonly options: OperationOptions;

  private readonly reservationTable: ReservationTable;

  private readonly peerClient: PeerClient;

  private rotation = 0;

  /** Reports in progress, which the drain waits for. */
  private readonly pendingReports = new Set<Promise<void>>();

  constructor({ kernel, rules, options, reservationTable }: WitnessClientParameters) {
    this.kernel = kernel;
    this.rules = rules;
    this.options = options;
    this.reservationTable = reservationTable;
    this.peerClient = new PeerClient(kernel);
  }

  /** Reserves a new ticket at up to `witnessCount` witnesses; fewer if not enough accept. */
  async reserve(remainingMs: number): Promise<ReadonlyArray<WitnessReservation>> {
    let candidates = this.listCandidates().slice(0, this.options.reserveAttempts);
    let reservations: ReadonlyArray<WitnessReservation> = [];
    while (reservations.length < this.options.witnessCount && candidates.length > 0) {
      const missing = this.options.witnessCount - reservations.length;
      const batch = candidates.slice(0, missing);
      candidates = candidates.slice(missing);
      const replies = await Promise.all(
        batch.map(async (vmId) => this.reserveAt(vmId, remainingMs)),
      );
      reservations = [
        ...reservations,
        ...replies.filter((reservation) => reservation !== undefined),
      ];
    }
    return reservations;
  }

  /** Returns a witness's reason for refusing the dispatch, or undefined if every witness grants it. */
  async findGrantRefusal(
    ticket: OperationTicket,
    fingerprint: string,
  ): Promise<string | undefined> {
    const requiredWitnesses = this.rules.listRequiredWitnesses(ticket);
    const replies = await Promise.all(
      requiredWitnesses.map(async (reservation) =>
        this.requestFrom(
          'operation.grant',
          reservation,
          { reservation, fingerprint },
          grantReplySchema,
        ),
      ),
    );
    return replies
      .map((reply) => reply ?? { granted: false, reason: 'A witness could not be reached.' })
      .find(({ granted }) => !granted)?.reason;
  }

  /** Closes the ticket when its owner can't be reached, or returns the outcome a witness holds. */
  async close(ticket: OperationTicket, fingerprint: string): Promise<CloseVerdict> {
    const self = this.getSelf();
    const verdicts = await Promise.all(
      ticket.witnesses.map(async (reservation): Promise<CloseVerdict> => {
        if (reservation.vmId === self.vmId) {
          return this.reservationTable.close(self, reservation, fingerprint);
        }
        const body = { reservation, fingerprint };
        const reply = await this.requestFrom(
          'operation.close',
          reservation,
          body,
          closeReplySchema,
        );
        return reply ?? { verdict: 'unknown', reason: 'The witness could not be reached.' };
      }),
    );
    return this.rules.mergeCloseVerdicts(verdicts);
  }

  /** Returns the ticket's state at the witnesses without changing it; undefined if none holds it. */
  async find(
    key: string,
    ticket: OperationTicket,
    findLocal: () => FindReply,
  ): Promise<FindReply | undefined> {
    const replies = await Promise.all(
      ticket.witnesses.map(async ({ vmId }) =>
        vmId === this.getSelf().vmId
          ? findLocal()
          : this.peerClient.request(
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
        this.pendingReports.add(report);
        await report.finally(() => this.pendingReports.delete(report));
      });
    });
  }

  /** Resolves when no report is in progress. */
  async waitUntilIdle(): Promise<void> {
    while (this.pendingReports.size > 0) await Promise.allSettled(this.pendingReports);
  }

  private async reportTo(
    reservation: WitnessReservation,
    body: unknown,
    signal: AbortSignal,
  ): Promise<void> {
    let delayMs = this.options.reportRetryDelayMs;
    for (let attempt = 0; attempt < this.options.reportAttempts; attempt++) {
      const reply = await this.requestFrom(
        'operation.outcome',
        reservation,
        body,
        outcomeReplySchema,
      );
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
    const reply = await this.peerClient.request(vmId, message, reserveReplySchema, timeoutMs);
    return reply?.reservation && { vmId, ...reply.reservation };
  }

  private async requestFrom<S extends z.ZodType>(
    type: string,
    { vmId }: WitnessReservation,
    body: unknown,
    schema: S,
  ): Promise<z.infer<S> | undefined> {
    return this.peerClient.request(vmId, { type, body }, schema, this.options.witnessTimeoutMs);
  }

  private getSelf(): { readonly vmId: VmId; readonly incarnation: Kernel['incarnation'] } {
    return { vmId: this.kernel.settings.vmId, incarnation: this.kernel.incarnation };
  }

  private listCandidates(): ReadonlyArray<VmId> {
    this.rotation += 1;
    const liveNodes = this.kernel
      .get(Fleet)
      .listNodes()
      .filter(({ vm }) => vm.state === 'live');
    // Nodes without a recent update come last; a reservation that they confirm is equally valid.
    return (['serving', 'unknown'] as const).flatMap((wanted) => {
      const candidates = liveNodes.filter(({ state }) => state === wanted).map(({ vm }) => vm);
      return orderWitnesses(this.kernel.settings, candidates, this.rotation);
    });
  }
}
