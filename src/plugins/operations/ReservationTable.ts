/**
 * The reservations that ticket owners hold at this process, and its verdicts on their requests.
 */
import { createOperationId, type Clock, type Incarnation, type OperationId } from '../../core';
import {
  countOutcomeBytes,
  type CloseVerdict,
  type GrantVerdict,
  type StoredOutcome,
  type NodeProcess,
  type OperationRules,
  type WitnessReservation,
  type WitnessState,
  type WitnessView,
} from '../../decisions';
import { BoundedTable, type ExpiringEntry } from './BoundedTable';
import type { OperationOptions } from './options';

interface WitnessEntry extends ExpiringEntry {
  readonly owner: NodeProcess;
  readonly current: WitnessState;
}

/** @internal */
export class ReservationTable {
  private readonly table: BoundedTable<OperationId, WitnessEntry>;

  constructor(
    private readonly self: NodeProcess & { readonly incarnation: Incarnation },
    private readonly clock: Clock,
    private readonly rules: OperationRules,
    private readonly options: OperationOptions,
  ) {
    this.table = new BoundedTable(clock, options);
  }

  get size(): number {
    return this.table.size;
  }

  /** Returns undefined when the table is full. */
  reserve(owner: NodeProcess, remainingMs: number): WitnessReservation | undefined {
    if (this.table.isFull) return undefined;
    const reservationId = createOperationId();
    this.table.set(reservationId, {
      owner,
      current: { state: 'open' },
      storedBytes: 0,
      expiresAtMs: this.clock.nowMs() + remainingMs + this.options.retentionMs,
    });
    return { ...this.self, reservationId };
  }

  grant(from: NodeProcess, reservation: WitnessReservation, fingerprint: string): GrantVerdict {
    const verdict = this.rules.decideGrant(this.createView(from, reservation), fingerprint);
    if (verdict.next) this.update(reservation, verdict.next, from);
    return verdict;
  }

  close(from: NodeProcess, reservation: WitnessReservation, fingerprint: string): CloseVerdict {
    const verdict = this.rules.decideClose(this.createView(from, reservation), fingerprint);
    if (verdict.verdict === 'closed' && verdict.next) this.update(reservation, verdict.next, from);
    return verdict;
  }

  /** Returns whether the table holds an outcome, from this or an earlier report. */
  storeOutcome(
    from: NodeProcess,
    reservation: WitnessReservation,
    fingerprint: string | undefined,
    outcome: StoredOutcome,
  ): boolean {
    const entry = this.table.find(reservation.reservationId);
    if (entry?.current.state === 'ended') return true;
    const isFull =
      countOutcomeBytes(outcome) + this.table.storedBytes > this.options.maxStoredBytes;
    if (isFull || !this.rules.mayStoreOutcome(this.createView(from, reservation))) return false;
    this.update(reservation, { state: 'ended', fingerprint, outcome }, from);
    return true;
  }

  /** Returns the state of a reservation without changing it. */
  find(reservation: WitnessReservation): WitnessState | undefined {
    const entry = this.table.find(reservation.reservationId);
    const isAuthoritative = this.rules.isAuthoritative(reservation, this.self, entry !== undefined);
    return isAuthoritative ? entry?.current : undefined;
  }

  sweep(): void {
    this.table.sweep();
  }

  private createView(from: NodeProcess, reservation: WitnessReservation): WitnessView {
    const entry = this.table.find(reservation.reservationId);
    return { self: this.self, reservation, entry, from };
  }

  private update(
    { reservationId }: WitnessReservation,
    next: WitnessState,
    from: NodeProcess,
  ): void {
    const entry = this.table.find(reservationId);
    this.table.set(reservationId, {
      owner: entry?.owner ?? from,
      expiresAtMs: entry?.expiresAtMs ?? this.clock.nowMs() + this.options.retentionMs,
      storedBytes: next.state === 'ended' ? countOutcomeBytes(next.outcome) : 0,
      current: next,
    });
  }
}
