/**
 * The part of a node that is home to customers: grants slices of their limits.
 */
import { ServingError, type Contract, type CustomerId, type VmId } from '../../core';
import type { Kernel } from '../../kernel';
import { ContractStore, Fleet } from '../../services';
import { HomeHistory } from './HomeHistory';
import type { LeaseReply, LeaseRequest } from './leaseMessages';
import { LimitAllocator } from './LimitAllocator';
import { LIMIT_OPTIONS } from './options';

/** @internal */
export class LimitHome {
  private readonly ledgers = new Map<CustomerId, LimitAllocator>();

  /** Accounts of what this node admits by itself while a home node doesn't answer. */
  private readonly ownLedgers = new Map<CustomerId, LimitAllocator>();

  private readonly history: HomeHistory;

  constructor(private readonly kernel: Kernel) {
    this.history = new HomeHistory(kernel.clock, LIMIT_OPTIONS.leaseMs);
  }

  /**
   * Takes the present members into account and returns them; called before each use and once in a
   * while.
   */
  updateMembers(): ReadonlyArray<VmId> {
    const reachable = this.listReachable();
    this.history.update(reachable);
    return reachable;
  }

  getHome(customer: CustomerId): VmId {
    this.updateMembers();
    return this.history.getHome(customer) ?? this.kernel.settings.vmId;
  }

  /** @throws ServingError `limit-unconfirmed` when the contract isn't known here. */
  grant(holder: string, request: LeaseRequest): LeaseReply {
    const inForce = this.kernel.get(ContractStore).find(request.customer);
    if (!inForce) {
      throw new ServingError('limit-unconfirmed', {
        detail: `The home node has no contract of ${request.customer} yet.`,
      });
    }
    const reachable = this.updateMembers();
    return this.getLedger(this.ledgers, request.customer).grant(holder, request, {
      limits: inForce.contract.limits,
      reachableNodes: reachable.length,
      listedNodes: this.countListed(),
      gracePeriodMs: this.history.getGracePeriodMs(request.customer, this.kernel.settings.vmId),
    });
  }

  /**
   * What this node may admit while it cannot reach the home node: its own part of the rate, which
   * the home leaves out once it notices, and no new generation.
   */
  grantLocally(holder: string, request: LeaseRequest, limits: Contract['limits']): LeaseReply {
    return this.getLedger(this.ownLedgers, request.customer).grant(holder, request, {
      limits,
      reachableNodes: 1,
      listedNodes: this.countListed(),
      gracePeriodMs: LIMIT_OPTIONS.leaseMs,
    });
  }

  /** Drops ledgers without slices, so that memory follows the customers that are active. */
  dropIdle(): void {
    [this.ledgers, this.ownLedgers].forEach((ledgers) =>
      ledgers.forEach((ledger, customer) => {
        if (ledger.isEmpty()) ledgers.delete(customer);
      }),
    );
  }

  private getLedger(
    ledgers: Map<CustomerId, LimitAllocator>,
    customer: CustomerId,
  ): LimitAllocator {
    const ledger = ledgers.get(customer) ?? new LimitAllocator(this.kernel.clock);
    ledgers.set(customer, ledger);
    return ledger;
  }

  private listReachable(): ReadonlyArray<VmId> {
    const others = this.kernel
      .get(Fleet)
      .listNodes()
      .filter(({ state, vm }) => state !== 'unknown' && vm.vmId !== this.kernel.settings.vmId)
      .map(({ vm }) => vm.vmId);
    return [this.kernel.settings.vmId, ...others];
  }

  private countListed(): number {
    const { vmId } = this.kernel.settings;
    const listed = this.kernel
      .get(Fleet)
      .listNodes()
      .filter(({ vm }) => vm.state === 'live' || vm.vmId === vmId);
    const isSelfListed = listed.some(({ vm }) => vm.vmId === vmId);
    return listed.length + (isSelfListed ? 0 : 1);
  }
}
