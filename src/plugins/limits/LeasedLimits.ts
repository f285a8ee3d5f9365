/**
 * Places within customers' limits, taken from slices leased from their home nodes.
 */
import { ServingError, type CustomerId, type RequestId, type VmId } from '../../core';
import type { Kernel } from '../../kernel';
import {
  ContractStore,
  DecisionLog,
  LimitLeases,
  Peers,
  type ContractInForce,
  type LimitedWork,
  type LimitSlot,
} from '../../services';
import { CustomerLease } from './CustomerLease';
import { leaseReplySchema, type LeaseReply, type LeaseRequest } from './leaseMessages';
import type { LimitHome } from './LimitHome';
import { LIMIT_OPTIONS } from './options';

interface RefreshResult {
  readonly retryAfterMs: number;
  /** Set when the home node did not answer. */
  readonly unconfirmed?: ServingError;
}

/** @internal */
export class LeasedLimits extends LimitLeases {
  private readonly slices = new Map<CustomerId, CustomerLease>();

  private readonly refreshes = new Map<CustomerId, Promise<RefreshResult>>();

  constructor(
    private readonly kernel: Kernel,
    private readonly home: LimitHome,
  ) {
    super();
  }

  async acquire(
    inForce: ContractInForce,
    work: LimitedWork,
    deadlineMs: number,
    requestId: RequestId,
  ): Promise<LimitSlot> {
    const startedMs = this.kernel.clock.nowMs();
    const { customer } = inForce.contract;
    const slice = this.slices.get(customer) ?? new CustomerLease(this.kernel.clock);
    this.slices.set(customer, slice);
    const removeWaiter = slice.addWaiter(work);
    try {
      await this.waitForPlace(inForce, slice, work, deadlineMs);
    } catch (thrown) {
      this.record(inForce, requestId, 'refuse', startedMs, ServingError.from(thrown));
      throw thrown;
    } finally {
      removeWaiter();
    }
    if (this.kernel.clock.nowMs() - startedMs >= LIMIT_OPTIONS.minRecordedWaitMs) {
      this.record(inForce, requestId, 'wait', startedMs);
    }
    let isReleased = false;
    return {
      release: () => {
        if (!isReleased) slice.release(work);
        isReleased = true;
      },
    };
  }

  private async waitForPlace(
    inForce: ContractInForce,
    slice: CustomerLease,
    work: LimitedWork,
    deadlineMs: number,
  ): Promise<void> {
    const { clock, signal } = this.kernel;
    let delayMs: number = LIMIT_OPTIONS.retryDelayMs;
    while (!slice.tryAcquire(work)) {
      const { retryAfterMs, unconfirmed } = await this.refresh(inForce, slice);
      if (slice.tryAcquire(work)) return;
      if (clock.nowMs() >= deadlineMs || signal.aborted) {
        throw (
          unconfirmed ??
          this.refuse(inForce.contract.customer, slice.findExhaustedClause(work), retryAfterMs)
        );
      }
      await slice.waitForRelease(Math.min(delayMs, deadlineMs - clock.nowMs()), signal);
      delayMs = Math.min(delayMs * 2, LIMIT_OPTIONS.maxRetryDelayMs);
    }
  }

  /** Renews the slices that hold running work and forgets those that hold nothing. */
  async renewRunning(): Promise<void> {
    const contracts = this.kernel.get(ContractStore);
    const due = [...this.slices].filter(([customer, slice]) => {
      if (slice.isIdle()) this.slices.delete(customer);
      return slice.generationsInUse > 0 && slice.remainingMs < LIMIT_OPTIONS.renewBeforeMs;
    });
    await Promise.all(
      due.map(async ([customer, slice]) => {
        const inForce = contracts.find(customer);
        if (inForce) await this.refresh(inForce, slice);
      }),
    );
  }

  /** Requests a slice; requests for the same customer at the same time share one message. */
  private async refresh(inForce: ContractInForce, slice: CustomerLease): Promise<RefreshResult> {
    const { customer } = inForce.contract;
    const running = this.refreshes.get(customer);
    if (running) return running;
    const refresh = this.requestSlice(inForce, slice).finally(() =>
      this.refreshes.delete(customer),
    );
    this.refreshes.set(customer, refresh);
    return refresh;
  }

  private async requestSlice(
    { contract: { customer, limits } }: ContractInForce,
    slice: CustomerLease,
  ): Promise<RefreshResult> {
    const sentAtMs = this.kernel.clock.nowMs();
    const request: LeaseRequest = {
      customer,
      generationsInUse: slice.generationsInUse,
      generationsWanted: slice.generationsWanted,
      permitsWanted: slice.permitsWanted,
    };
    const home = this.home.getHome(customer);
    try {
      const reply = await this.askHome(home, request);
      slice.applyLease(reply, sentAtMs);
      return { retryAfterMs: reply.retryAfterMs };
    } catch (thrown) {
      const reply = this.home.grantLocally(this.holder, request, limits);
      slice.applyLease(reply, sentAtMs);
      const unconfirmed = new ServingError('limit-unconfirmed', {
        detail: `The home node ${home} of ${customer} did not answer.`,
        retryAfterMs: LIMIT_OPTIONS.requestTimeoutMs,
        cause: thrown,
      });
      return { retryAfterMs: LIMIT_OPTIONS.requestTimeoutMs, unconfirmed };
    }
  }

  private get holder(): string {
    return `${this.kernel.settings.vmId}/${this.kernel.incarnation}`;
  }

  private async askHome(home: VmId, request: LeaseRequest): Promise<LeaseReply> {
    if (home === this.kernel.settings.vmId) return this.home.grant(this.holder, request);
    const deadlineMs = this.kernel.clock.nowMs() + LIMIT_OPTIONS.requestTimeoutMs;
    const reply = await this.kernel.get(Peers).call(home, 'limit.lease', request, deadlineMs);
    return leaseReplySchema.parse(reply);
  }

  private record(
    { contract: { customer }, revision }: ContractInForce,
    requestId: RequestId,
    step: 'wait' | 'refuse',
    startedMs: number,
    refusal?: ServingError,
  ): void {
    this.kernel.get(DecisionLog).record({
      requestId,
      customer,
      contractRevision: revision,
      clause: refusal?.clause ?? 'limits',
      step,
      reason: refusal?.detail ?? 'it waited for a place within the limits of the contract',
      measured: { waitedMs: Math.round(this.kernel.clock.nowMs() - startedMs) },
    });
  }

  private refuse(customer: CustomerId, clause: string, retryAfterMs: number): ServingError {
    return new ServingError('limit-reached', {
      detail: `${customer} has reached ${clause}.`,
      clause,
      retryAfterMs,
    });
  }
}
