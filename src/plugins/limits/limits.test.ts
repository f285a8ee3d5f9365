import recupContract from '../../../examples/recup.json';
import { createRequestId, ManualClock, type CustomerId, type VmId } from '../../core';
import { pickByRendezvous } from '../../decisions';
import { Plugin } from '../../kernel';
import { TestKernel } from '../../kernel/TestKernel';
import { ContractStore, DecisionLog, LimitLeases, PublishedState } from '../../services';
import { ExplainPlugin } from '../explain';
import { FleetPlugin } from '../fleet';
import { PublishedStore } from '../published/PublishedStore';
import { PublishedContracts } from '../published/PublishedContracts';
import { LimitsPlugin } from './LimitsPlugin';
import { CustomerLease } from './CustomerLease';
import { HomeHistory } from './HomeHistory';
import { LimitAllocator } from './LimitAllocator';
import { LIMIT_OPTIONS } from './options';

const CUSTOMER = 'cafe' as CustomerId;
const NODES = ['entry-1', 'entry-2', 'entry-3'] as ReadonlyArray<string> as ReadonlyArray<VmId>;
const LIMITS = { concurrentGenerations: 4, requestsPerSecond: 10 };
const WHOLE = { limits: LIMITS, reachableNodes: 3, listedNodes: 3, gracePeriodMs: 0 };

/** Provides a contract as if the platform had published it. */
class KnownStatePlugin extends Plugin {
  static override readonly type = 'known-state';

  override setUp(): void {
    const store = new PublishedStore(this.kernel.clock);
    this.kernel.provide(PublishedState, store);
    this.kernel.provide(ContractStore, new PublishedContracts(store, this.kernel.log));
    const contract = { ...recupContract, customer: CUSTOMER, limits: LIMITS };
    store.merge([{ key: `contracts/${CUSTOMER}`, revision: 7, body: JSON.stringify(contract) }]);
  }
}

function request(generationsInUse: number, generationsWanted: number, permitsWanted = 0) {
  return { customer: CUSTOMER, generationsInUse, generationsWanted, permitsWanted };
}

test('leases of all nodes stay within the limit and expire', () => {
  const clock = new ManualClock();
  const allocator = new LimitAllocator(clock);
  expect(allocator.grant('a', request(0, 3), WHOLE).generations).toBe(3);
  expect(allocator.grant('b', request(0, 3), WHOLE).generations).toBe(1);
  expect(allocator.grant('c', request(0, 1), WHOLE).generations).toBe(0);
  clock.advance(LIMIT_OPTIONS.leaseMs);
  expect(allocator.grant('c', request(0, 4), WHOLE).generations).toBe(4);
});

// Guards against exceeding a limit after a change of home, while leases of the old home are in use.
test('a new home grants nothing new before old leases expire', () => {
  const clock = new ManualClock();
  const history = new HomeHistory(clock, LIMIT_OPTIONS.leaseMs);
  const oldHome = pickByRendezvous(CUSTOMER, NODES)!;
  const rest = NODES.filter((vmId) => vmId !== oldHome);
  const newHome = pickByRendezvous(CUSTOMER, rest)!;
  history.update(NODES);
  clock.advance(60_000);
  expect(history.getGracePeriodMs(CUSTOMER, oldHome)).toBe(0);
  history.update(rest);
  expect(history.getGracePeriodMs(CUSTOMER, newHome)).toBe(LIMIT_OPTIONS.leaseMs);
  const allocator = new LimitAllocator(clock);
  const inGracePeriod = { ...WHOLE, gracePeriodMs: LIMIT_OPTIONS.leaseMs };
  expect(allocator.grant('a', request(2, 4), inGracePeriod).generations).toBe(2);
  clock.advance(LIMIT_OPTIONS.leaseMs);
  expect(history.getGracePeriodMs(CUSTOMER, newHome)).toBe(0);
});

// Guards against skipping the grace period when the home changes away and back within one lease.
test('a home that lost and regained a customer waits too', () => {
  const clock = new ManualClock();
  const history = new HomeHistory(clock, LIMIT_OPTIONS.leaseMs);
  const home = pickByRendezvous(CUSTOMER, NODES)!;
  history.update(NODES);
  clock.advance(60_000);
  history.update(NODES.filter((vmId) => vmId !== home));
  clock.advance(1_000);
  history.update(NODES);
  clock.advance(1_000);
  expect(history.getGracePeriodMs(CUSTOMER, home)).toBe(LIMIT_OPTIONS.leaseMs - 1_000);
});

test('permits stay within the rate of the contract', () => {
  const clock = new ManualClock();
  const allocator = new LimitAllocator(clock);
  let permits = 0;
  for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 100) {
    permits += allocator.grant('a', request(0, 0, 50), WHOLE).permits;
    permits += allocator.grant('b', request(0, 0, 50), WHOLE).permits;
    clock.advance(100);
  }
  const seconds = 10;
  const burst = LIMIT_OPTIONS.burstSeconds * LIMITS.requestsPerSecond;
  expect(permits).toBeLessThanOrEqual(seconds * LIMITS.requestsPerSecond + burst);
  expect(permits).toBeGreaterThanOrEqual((seconds - 1) * LIMITS.requestsPerSecond);
});

// Guards against a node that resumes after a pause and admits requests under an expired lease.
test('a lease expires by the clock of its holder', () => {
  const clock = new ManualClock();
  const lease = new CustomerLease(clock);
  const sentAtMs = clock.nowMs();
  lease.applyLease({ generations: 2, permits: 5, leaseMs: 5_000, retryAfterMs: 0 }, sentAtMs);
  expect(lease.tryAcquire('generation')).toBe(true);
  clock.advance(5_000);
  expect(lease.tryAcquire('generation')).toBe(false);
});

// Guards against refusals that leave no record of their reason.
test('records why a limit refused a request', async () => {
  const kernel = new TestKernel([KnownStatePlugin, FleetPlugin, ExplainPlugin, LimitsPlugin]);
  await kernel.start();
  const inForce = kernel.get(ContractStore).find(CUSTOMER)!;
  const leases = kernel.get(LimitLeases);
  const requestId = createRequestId(kernel.settings.vmId);
  const deadlineMs = kernel.clock.nowMs();
  const takeAll = async (): Promise<void> => {
    for (let taken = 0; taken < 100; taken++) {
      await leases.acquire(inForce, 'call', deadlineMs, requestId);
    }
  };
  await expect(takeAll()).rejects.toMatchObject({ kind: 'limit-reached' });
  expect(kernel.get(DecisionLog).findLocal(requestId)).toMatchObject([
    { step: 'refuse', clause: 'limits.requestsPerSecond', contractRevision: 7, customer: CUSTOMER },
  ]);
  await kernel.dispose();
});
