/**
 * Runs calls that may not be repeated, such as credits, bookings and charges, at most once.
 */
import { OperationRules } from '../../decisions';
import { Plugin, registerPlugin, type Kernel } from '../../kernel';
import { HttpRoutes, Operations, PeerHandler } from '../../services';
import { TicketTable } from './TicketTable';
import { OperationOwner } from './OperationOwner';
import { OperationRoutes } from './OperationRoutes';
import { OPERATION_OPTIONS, type OperationOptions } from './options';
import { FindHandler, RunHandler } from './ownerHandlers';
import { TicketedOperations } from './TicketedOperations';
import { WitnessClient } from './WitnessClient';
import { CloseHandler, GrantHandler, OutcomeHandler, ReserveHandler } from './witnessHandlers';
import { ReservationTable } from './ReservationTable';

/** @internal */
export class OperationsPlugin extends Plugin {
  static override readonly type: string = 'operations';

  readonly ticketTable: TicketTable;

  readonly reservationTable: ReservationTable;

  private readonly witnesses: WitnessClient;

  private readonly owner: OperationOwner;

  private readonly options: OperationOptions;

  /** Tests pass modified rules to show that each rule is needed. */
  constructor(
    kernel: Kernel,
    options: OperationOptions = OPERATION_OPTIONS,
    private readonly rules: OperationRules = new OperationRules(),
  ) {
    super(kernel);
    this.options = options;
    const self = { vmId: kernel.settings.vmId, incarnation: kernel.incarnation };
    this.ticketTable = new TicketTable(kernel.clock, options);
    this.reservationTable = new ReservationTable(self, kernel.clock, rules, options);
    const { ticketTable, reservationTable } = this;
    this.witnesses = new WitnessClient({ kernel, rules, options, reservationTable });
    this.owner = new OperationOwner({ kernel, rules, ticketTable, witnesses: this.witnesses });
  }

  override setUp(): void {
    const { kernel, rules, options, ticketTable, reservationTable, owner, witnesses } = this;
    const operations = new TicketedOperations({
      kernel,
      rules,
      options,
      ticketTable,
      reservationTable,
      owner,
      witnesses,
    });
    kernel.provide(Operations, operations);
    kernel.provide(HttpRoutes, new OperationRoutes(kernel, operations));
    [
      new RunHandler(kernel, operations, owner),
      new FindHandler(operations),
      new ReserveHandler(kernel, reservationTable),
      new GrantHandler(reservationTable),
      new CloseHandler(reservationTable),
      new OutcomeHandler(reservationTable),
    ].forEach((handler) => kernel.provide(PeerHandler, handler));
  }

  override async start(): Promise<void> {
    this.kernel.runTask('forget operations', async (signal) => {
      while (!signal.aborted) {
        await this.kernel.clock.sleep(this.options.sweepIntervalMs, signal);
        this.ticketTable.sweep();
        this.reservationTable.sweep();
      }
    });
  }

  /** Waits until operations have ended and their outcomes are reported to the witnesses. */
  override async drain(): Promise<void> {
    await this.owner.waitUntilIdle();
    await this.witnesses.waitUntilIdle();
  }

  /** Lets calls that arrived after the drain finish and report their outcomes. */
  override async dispose(): Promise<void> {
    this.owner.stop();
    const timeout = new AbortController();
    await Promise.race([
      this.owner.waitUntilIdle(),
      this.kernel.clock.sleep(this.options.disposeTimeoutMs, timeout.signal),
    ]);
    timeout.abort();
  }
}

registerPlugin(OperationsPlugin);
