import recupContract from '../../../examples/recup.json';
import { createRequestId, ManualClock, type CustomerId, type VmId } from '../../core';
import { pickByRendezvous } from '../../decisions';
import { Plugin } from '../../kernel';
import { TestKernel } from '../../kernel/TestKernel';
import { ContractStore, DecisionLog, LimitLeases, PublishedState } from '../../services';
import { ExplainPlugin } from '../explain';
import { FleetPlugin } from '../fleet';
import { PublishedBook } from '../published/PublishedBook';
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

/** Contracts as if the platform had published them. */
class KnownStatePlugin extends Plugin {
  static override readonly type = 'known-state';

  override setUp(): void {
    const book = new PublishedBook(this.kernel.clock);
    this.kernel.provide(PublishedState, book);
    this.kernel.provide(ContractStore, new PublishedContracts(book, this.kernel.log));
    const contract = { ...recupContract, customer: CUSTOMER, limits: LIMITS };
    book.merge([{ key: `contracts/${CUSTOMER}`, revision: 7, body: JSON.stringify(contract) }]);
  }
}

function request(generationsInUse: number, generationsWanted: number, permitsWanted = 0) {
  return { customer: CUSTOMER, generationsInUse, generationsWanted, permitsWanted };
}

test('slices of all nodes stay at the limit and return after the lease', () => {
  const clock = new ManualClock();
  const ledger = new LimitAllocator(clock);
  expect(ledger.grant('a', request(0, 3), WHOLE).generations).toBe(3);
  expect(ledger.grant('b', request(0, 3), WHOLE).generations).toBe(1);
  expect(ledger.grant('c', request(0, 1), WHOLE).generations).toBe(0);
  clock.advance(LIMIT_OPTIONS.leaseMs);
  expect(ledger.grant('c', request(0, 4), WHOLE).generations).toBe(4);
});

// Guards against an overshoot after a change of home: the old home's slices may still be in use.
test('a new home grants nothing new before the old slices have ended', () => {
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
  const ledger = new LimitAllocator(clock);
  const uncertain = { ...WHOLE, uncertainMs: LIMIT_OPTIONS.leaseMs };
  expect(ledger.grant('a', request(2, 4), uncertain).generations).toBe(2);
  clock.advance(LIMIT_OPTIONS.leaseMs);
  expect(history.getGracePeriodMs(CUSTOMER, newHome)).toBe(0);
});

// Guards against a node whose home changes away and back within one lease.
test('a home that lost and regained a customer waits as well', () => {
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

test('permits follow the rate of the contract', () => {
  const clock = new ManualClock();
  const ledger = new LimitAllocator(clock);
  let permits = 0;
  for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 100) {
    permits += ledger.grant('a', request(0, 0, 50), WHOLE).permits;
    permits += ledger.grant('b', request(0, 0, 50), WHOLE).permits;
    clock.advance(100);
  }
  const seconds = 10;
  const burst = LIMIT_OPTIONS.burstSeconds * LIMITS.requestsPerSecond;
  expect(permits).toBeLessThanOrEqual(seconds * LIMITS.requestsPerSecond + burst);
  expect(permits).toBeGreaterThanOrEqual((seconds - 1) * LIMITS.requestsPerSecond);
});

// Guards against a paused node that wakes and goes on admitting on a slice that has ended.
test('a slice ends by the clock of its holder', () => {
  const clock = new ManualClock();
  const slice = new CustomerLease(clock);
  const sentAtMs = clock.nowMs();
  slice.applyLease({ generations: 2, permits: 5, leaseMs: 5_000, retryAfterMs: 0 }, sentAtMs);
  expect(slice.tryAcquire('generation')).toBe(true);
  clock.advance(5_000);
  expect(slice.tryAcquire('generation')).toBe(false);
});

// Guards against a refusal that nobody can explain afterwards.
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
