/**
 * Admits requests within customers' limits, using leases from the customers' home nodes.
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
  /** Set when the home node did not reply. */
  readonly unconfirmedError?: ServingError;
}

/** @internal */
export class LeasedLimits extends LimitLeases {
  private readonly leases = new Map<CustomerId, CustomerLease>();

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
    const lease = this.leases.get(customer) ?? new CustomerLease(this.kernel.clock);
    this.leases.set(customer, lease);
    const removeWaiter = lease.addWaiter(work);
    try {
      await this.waitForSlot(inForce, lease, work, deadlineMs);
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
        if (!isReleased) lease.release(work);
        isReleased = true;
      },
    };
  }

  private async waitForSlot(
    inForce: ContractInForce,
    lease: CustomerLease,
    work: LimitedWork,
    deadlineMs: number,
  ): Promise<void> {
    const { clock, signal } = this.kernel;
    let delayMs: number = LIMIT_OPTIONS.retryDelayMs;
    while (!lease.tryAcquire(work)) {
      const { retryAfterMs, unconfirmedError } = await this.refresh(inForce, lease);
      if (lease.tryAcquire(work)) return;
      if (clock.nowMs() >= deadlineMs || signal.aborted) {
        throw (
          unconfirmedError ??
          this.refuse(inForce.contract.customer, lease.findExhaustedClause(work), retryAfterMs)
        );
      }
      await lease.waitForRelease(Math.min(delayMs, deadlineMs - clock.nowMs()), signal);
      delayMs = Math.min(delayMs * 2, LIMIT_OPTIONS.maxRetryDelayMs);
    }
  }

  /** Renews leases that have running generations and drops idle ones. */
  async renewRunning(): Promise<void> {
    const contracts = this.kernel.get(ContractStore);
    const due = [...this.leases].filter(([customer, lease]) => {
      if (lease.isIdle()) this.leases.delete(customer);
      return lease.generationsInUse > 0 && lease.remainingMs < LIMIT_OPTIONS.renewBeforeMs;
    });
    await Promise.all(
      due.map(async ([customer, lease]) => {
        const inForce = contracts.find(customer);
        if (inForce) await this.refresh(inForce, lease);
      }),
    );
  }

  /** Requests a lease; concurrent requests for one customer share a message. */
  private async refresh(inForce: ContractInForce, lease: CustomerLease): Promise<RefreshResult> {
    const { customer } = inForce.contract;
    const pending = this.refreshes.get(customer);
    if (pending) return pending;
    const refresh = this.requestLease(inForce, lease).finally(() =>
      this.refreshes.delete(customer),
    );
    this.refreshes.set(customer, refresh);
    return refresh;
  }

  private async requestLease(
    { contract: { customer, limits } }: ContractInForce,
    lease: CustomerLease,
  ): Promise<RefreshResult> {
    const sentAtMs = this.kernel.clock.nowMs();
    const request: LeaseRequest = {
      customer,
      generationsInUse: lease.generationsInUse,
      generationsWanted: lease.generationsWanted,
      permitsWanted: lease.permitsWanted,
    };
    const home = this.home.getHome(customer);
    try {
      const reply = await this.requestFromHome(home, request);
      lease.applyLease(reply, sentAtMs);
      return { retryAfterMs: reply.retryAfterMs };
    } catch (thrown) {
      const reply = this.home.grantLocally(this.holder, request, limits);
      lease.applyLease(reply, sentAtMs);
      const unconfirmedError = new ServingError('limit-unconfirmed', {
        detail: `The home node ${home} of ${customer} did not reply.`,
        retryAfterMs: LIMIT_OPTIONS.requestTimeoutMs,
        cause: thrown,
      });
      return { retryAfterMs: LIMIT_OPTIONS.requestTimeoutMs, unconfirmedError };
    }
  }

  private get holder(): string {
    return `${this.kernel.settings.vmId}/${this.kernel.incarnation}`;
  }

  private async requestFromHome(home: VmId, request: LeaseRequest): Promise<LeaseReply> {
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
