/**
 * The tickets that this process has issued, with their states and outcomes.
 */
import type { Clock, OperationId } from '../../core';
import { countOutcomeBytes, type StoredOutcome, type OwnerState } from '../../decisions';
import { BoundedTable, type ExpiringEntry } from './BoundedTable';
import type { OperationOptions } from './options';

/** @internal */
export interface TicketEntry extends ExpiringEntry {
  /** Time on this node's clock before which the call must be dispatched. */
  readonly deadlineMs: number;
  readonly current: OwnerState;
}

/** @internal */
export class TicketTable {
  private readonly table: BoundedTable<OperationId, TicketEntry>;

  private runningCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly options: OperationOptions,
  ) {
    this.table = new BoundedTable(clock, options);
  }

  /** Whether another ticket can be issued. */
  get hasRoom(): boolean {
    return !this.table.isFull;
  }

  /** Whether another operation can be dispatched and its answer stored. */
  get canRun(): boolean {
    return (
      this.runningCount < this.options.maxRunning &&
      this.table.storedBytes < this.options.maxStoredBytes
    );
  }

  get size(): number {
    return this.table.size;
  }

  find(operationId: OperationId): TicketEntry | undefined {
    return this.table.find(operationId);
  }

  add(operationId: OperationId, deadlineMs: number): void {
    this.table.set(operationId, {
      deadlineMs,
      expiresAtMs: deadlineMs + this.options.retentionMs,
      storedBytes: 0,
      current: { state: 'open' },
    });
  }

  /** Binds the ticket to one call. A running entry does not expire. */
  begin(operationId: OperationId, fingerprint: string, deadlineMs: number): void {
    this.runningCount += 1;
    this.table.set(operationId, {
      deadlineMs,
      expiresAtMs: Infinity,
      storedBytes: 0,
      current: { state: 'running', fingerprint },
    });
  }

  /** Stores the outcome for repeats until the retention time after the deadline has passed. */
  end(operationId: OperationId, fingerprint: string | undefined, outcome: StoredOutcome): void {
    const entry = this.table.find(operationId);
    if (entry?.current.state === 'running') this.runningCount -= 1;
    const nowMs = this.clock.nowMs();
    const deadlineMs = entry?.deadlineMs ?? nowMs;
    this.table.set(operationId, {
      deadlineMs,
      // The outcome of a call that ended after the deadline gets the full retention time too.
      expiresAtMs: Math.max(deadlineMs, nowMs) + this.options.retentionMs,
      storedBytes: countOutcomeBytes(outcome),
      current: { state: 'ended', fingerprint, outcome },
    });
  }

  sweep(): void {
    this.table.sweep();
  }
}
