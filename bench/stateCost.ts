/**
 * Measures the memory of the state that each node holds, and the time to build it: contracts, VM
 * records, limit allocators and stored decisions. Prints a slope for each, for docs/CAPACITY.md.
 *
 * Run by `npm run bench:state`; needs `--expose-gc`, which the script passes.
 */
import { pack } from 'msgpackr';
import type { Contract, CustomerId, PublishedRecord, RequestId } from '../src/core';
import { SystemClock } from '../src/core';
import { Log, Plugin } from '../src/kernel';
import { TestKernel } from '../src/kernel/TestKernel';
import { InMemoryDecisionLog } from '../src/plugins/explain/InMemoryDecisionLog';
import { FleetPlugin } from '../src/plugins/fleet';
import { LimitAllocator } from '../src/plugins/limits/LimitAllocator';
import { PublishedStore } from '../src/plugins/published/PublishedStore';
import { PublishedContracts } from '../src/plugins/published/PublishedContracts';
import { PublishedState, type DecisionLog } from '../src/services';
import { formatFittedLine, type Measurement } from './fitLine';
import recupContract from '../examples/recup.json';

const BYTES_PER_KB = 1_024;
const clock = new SystemClock();
const quietLog = new Log({ level: 'error', fields: {}, write: () => {} });

function getHeapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

interface Cost {
  readonly kilobytes: number;
  readonly ms: number;
}

/** Builds state and measures its memory and the time to build it. */
function measure(build: () => unknown): Cost {
  const before = getHeapBytes();
  const startedMs = clock.nowMs();
  const state = build();
  const ms = clock.nowMs() - startedMs;
  const kilobytes = (getHeapBytes() - before) / BYTES_PER_KB;
  // Keeps the state reachable until it has been measured.
  if (state === undefined) throw new Error('nothing was built');
  return { kilobytes, ms };
}

function createContractRecords(count: number): ReadonlyArray<PublishedRecord> {
  return Array.from({ length: count }, (_, index) => ({
    key: `contracts/team-${index}`,
    revision: index + 1,
    body: JSON.stringify({
      ...recupContract,
      customer: `team-${index}`,
      keyHashes: [index.toString(16).padStart(64, '0')],
    }),
  }));
}

function createVmRecords(count: number): ReadonlyArray<PublishedRecord> {
  return Array.from({ length: count }, (_, index) => ({
    key: `vms/engine-${index}`,
    revision: index + 1,
    body: JSON.stringify({
      vmId: `engine-${index}`,
      role: 'engine',
      url: `http://10.0.${index % 250}.7:8000`,
      dataCentre: `centre-${index % 14}`,
      region: `region-${index % 6}`,
      state: 'live',
      models: [`model-${index % 37}`],
      checksFence: true,
    }),
  }));
}

class PublishedStatePlugin extends Plugin {
  static override readonly type = 'book';

  override setUp(): void {
    this.kernel.provide(PublishedState, new PublishedStore(this.kernel.clock));
  }
}

function buildContracts(records: ReadonlyArray<PublishedRecord>): unknown {
  const store = new PublishedStore(clock);
  const contracts = new PublishedContracts(store, quietLog);
  store.merge(records);
  return { store, contracts };
}

async function measureVms(records: ReadonlyArray<PublishedRecord>): Promise<Cost> {
  const kernel = new TestKernel([PublishedStatePlugin, FleetPlugin]);
  await kernel.start();
  return measure(() => kernel.get(PublishedState).merge(records));
}

function buildLimitAllocators(count: number): unknown {
  const { limits } = recupContract as unknown as Contract;
  return Array.from({ length: count }, (_, index) => {
    const allocator = new LimitAllocator(clock);
    const request = {
      customer: `team-${index}` as CustomerId,
      generationsInUse: 1,
      generationsWanted: 1,
      permitsWanted: 2,
    };
    const grantContext = { limits, reachableNodes: 370, listedNodes: 370, gracePeriodMs: 0 };
    allocator.grant('entry-1/0123456789abcdef', request, grantContext);
    return allocator;
  });
}

function buildDecisionLog(count: number): DecisionLog {
  const decisions = new InMemoryDecisionLog(new TestKernel([]));
  for (let index = 0; index < count; index++) {
    decisions.record({
      requestId: `entry-1~${index.toString(16).padStart(16, '0')}` as RequestId,
      customer: `team-${index % 100}` as CustomerId,
      kindOfWork: 'audit-summary',
      contractRevision: 7,
      clause: 'kindsOfWork[0].model',
      step: 'route',
      chosen: 'engine-1',
      passedOver: Array.from({ length: 5 }, (_, each) => ({
        candidate: `engine-${each + index}`,
        reason: `room for ${index} tokens, 44 needed`,
      })),
      reason: 'The engine has room for the predicted length.',
      measured: { neededTokens: 44, freeTokens: index, waitedMs: index },
    });
  }
  return decisions;
}

function report(name: string, costs: ReadonlyArray<readonly [number, Cost]>): void {
  const kilobytes = costs.map(([count, cost]): Measurement => [count, cost.kilobytes]);
  const ms = costs.map(([count, cost]): Measurement => [count, cost.ms]);
  process.stdout.write(`${formatFittedLine(`${name}, memory`, 'KB', kilobytes)}\n`);
  process.stdout.write(`${formatFittedLine(`${name}, time to apply`, 'ms', ms)}\n`);
}

function measureLeaseMessage(): void {
  const request = {
    customer: 'recup-brisbane',
    generationsInUse: 1,
    generationsWanted: 1,
    permitsWanted: 2,
  };
  const reply = { generations: 1, permits: 2, leaseMs: 5_000, retryAfterMs: 0 };
  const requestBytes = pack({ id: 100_000, type: 'limit.lease', body: request }).length;
  const replyBytes = pack({ id: 100_000, reply }).length;
  process.stdout.write(`lease: request ${requestBytes} bytes, reply ${replyBytes} bytes\n`);
}

async function main(): Promise<void> {
  const contractCounts = [1_000, 2_000, 5_000, 11_000];
  measure(() => buildContracts(createContractRecords(500)));
  report(
    'contract',
    contractCounts.map((count) => {
      const records = createContractRecords(count);
      const { ms } = measure(() => buildContracts(records));
      // Builds the records anew, because a node also holds their text.
      const { kilobytes } = measure(() => buildContracts(createContractRecords(count)));
      return [count, { kilobytes, ms }] as const;
    }),
  );
  const vmCosts: Array<readonly [number, Cost]> = [];
  for (const count of [200, 400, 800, 1_570]) {
    vmCosts.push([count, await measureVms(createVmRecords(count))]);
  }
  report('VM record', vmCosts);
  report(
    'limit allocator of a customer',
    contractCounts.map((count) => [count, measure(() => buildLimitAllocators(count))] as const),
  );
  report(
    'stored decision',
    [500, 1_000, 2_000, 4_000].map(
      (count) => [count, measure(() => buildDecisionLog(count))] as const,
    ),
  );
  measureLeaseMessage();
}

void main();
