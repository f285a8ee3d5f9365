/**
 * Grants leases on the limits of the customers whose home is this node.
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
  private readonly allocators = new Map<CustomerId, LimitAllocator>();

  /** Allocators for local admission while a customer's home node is unreachable. */
  private readonly localAllocators = new Map<CustomerId, LimitAllocator>();

  private readonly history: HomeHistory;

  constructor(private readonly kernel: Kernel) {
    this.history = new HomeHistory(kernel.clock, LIMIT_OPTIONS.leaseMs);
  }

  /**
   * Updates the history with the reachable nodes and returns them. Called before each use and
   * periodically.
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

  /** @throws ServingError `limit-unconfirmed` when this node doesn't have the contract. */
  grant(holder: string, request: LeaseRequest): LeaseReply {
    const inForce = this.kernel.get(ContractStore).find(request.customer);
    if (!inForce) {
      throw new ServingError('limit-unconfirmed', {
        detail: `The home node has no contract of ${request.customer} yet.`,
      });
    }
    const reachable = this.updateMembers();
    return this.getAllocator(this.allocators, request.customer).grant(holder, request, {
      limits: inForce.contract.limits,
      reachableNodes: reachable.length,
      listedNodes: this.countListed(),
      gracePeriodMs: this.history.getGracePeriodMs(request.customer, this.kernel.settings.vmId),
    });
  }

  /**
   * Grants what this node may admit while it can't reach the home node: its own share of the rate,
   * which the home leaves out once it sees the node as unreachable, and no new generation.
   */
  grantLocally(holder: string, request: LeaseRequest, limits: Contract['limits']): LeaseReply {
    return this.getAllocator(this.localAllocators, request.customer).grant(holder, request, {
      limits,
      reachableNodes: 1,
      listedNodes: this.countListed(),
      gracePeriodMs: LIMIT_OPTIONS.leaseMs,
    });
  }

  /** Drops allocators without leases, so that memory is proportional to the active customers. */
  dropIdle(): void {
    [this.allocators, this.localAllocators].forEach((allocators) =>
      allocators.forEach((allocator, customer) => {
        if (allocator.isEmpty()) allocators.delete(customer);
      }),
    );
  }

  private getAllocator(
    allocators: Map<CustomerId, LimitAllocator>,
    customer: CustomerId,
  ): LimitAllocator {
    const allocator = allocators.get(customer) ?? new LimitAllocator(this.kernel.clock);
    allocators.set(customer, allocator);
    return allocator;
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
