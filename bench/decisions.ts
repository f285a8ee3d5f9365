/**
 * `npm run bench:decisions`: cost of routing decisions on one core, and memory of the estimator.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import type { CustomerId, EndpointId } from '../src/core';
import {
  LengthEstimator,
  ReserveByQuantilePolicy,
  SeededRandom,
  type EndpointView,
  type LengthKey,
  type Reservation,
} from '../src/decisions';
import { fitLine } from './fitLine';
import { createEngineView, createRequest, GENERATION_KIND } from '../src/decisions/routingFixtures';
import { formatNumber, formatTable } from './formatTable';

const ENGINE_COUNTS = [9, 120, 1_200];
const CUSTOMER_COUNTS = [10, 1_000, 11_000];

/**
 * Generations in flight at one node at the target size: 590,000 tokens/s, 55 ms per token, 370 nodes.
 */
const OWN_RESERVATIONS = 88;
const OBSERVATIONS_PER_CUSTOMER = 12;
const MEASURE_MS = 1_500;
const KINDS = ['audit-summary', 'bin-label'];

function createKey(customer: number, kindOfWork: string): LengthKey {
  return { customer: `team-${customer}` as CustomerId, kindOfWork, maxOutputTokens: 1_000 };
}

function train(customers: number): LengthEstimator {
  const estimator = new LengthEstimator();
  const random = new SeededRandom(1);
  for (let customer = 0; customer < customers; customer++) {
    for (let count = 0; count < OBSERVATIONS_PER_CUSTOMER; count++) {
      KINDS.forEach((kind) =>
        estimator.observe(createKey(customer, kind), random.nextIndex(1_000)),
      );
    }
  }
  return estimator;
}

function createViews(
  engines: number,
  customers: number,
  estimator: LengthEstimator,
): ReadonlyArray<EndpointView> {
  const random = new SeededRandom(2);
  const reservations = Array.from({ length: OWN_RESERVATIONS }, (): Reservation => ({
    endpointId: `engine-${random.nextIndex(engines)}` as EndpointId,
    startedAtMs: 0,
    rank: 2,
    promptTokens: 100,
    producedTokens: random.nextIndex(200),
    forecast: estimator.getForecast(createKey(random.nextIndex(customers), 'audit-summary')),
  }));
  return Array.from({ length: engines }, (_, index) => {
    const view = createEngineView(index);
    return {
      ...view,
      report: view.report && {
        ...view.report,
        memoryTotalTokens: 100_000,
        memoryUsedTokens: random.nextIndex(40_000),
        running: random.nextIndex(20),
      },
      reservations: reservations.filter(({ endpointId }) => endpointId === view.endpointId),
    };
  });
}

function measureDecisions(engines: number, customers: number): number {
  const estimator = train(customers);
  const views = createViews(engines, customers, estimator);
  const policy = new ReserveByQuantilePolicy(new SeededRandom(3));
  const random = new SeededRandom(4);
  const decide = (): void => {
    const key = createKey(random.nextIndex(customers), GENERATION_KIND.name);
    policy.decide(
      createRequest({ customer: key.customer, forecast: estimator.getForecast(key) }),
      views,
      { nowMs: 1_000, decidingNodes: 370 },
    );
  };
  for (let count = 0; count < 200; count++) decide();
  const startMs = performance.now();
  let decisions = 0;
  while (performance.now() - startMs < MEASURE_MS) {
    decide();
    decisions += 1;
  }
  return (decisions * 1_000) / (performance.now() - startMs);
}

function measureBytes(customers: number): number {
  const readBytes = (): number => {
    globalThis.gc?.();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  const before = readBytes();
  const estimator = train(customers);
  const bytes = readBytes() - before;
  // Used after the measurement, so that the estimator is not garbage-collected before.
  return estimator.size > 0 ? bytes : 0;
}

function runBench(): void {
  const decisions = ENGINE_COUNTS.flatMap((engines) =>
    CUSTOMER_COUNTS.map((customers) => {
      const perSecond = measureDecisions(engines, customers);
      return { engines, customers, perSecond, microseconds: 1_000_000 / perSecond };
    }),
  );
  const memory = CUSTOMER_COUNTS.map((customers) => ({
    customers,
    bytes: measureBytes(customers),
  }));
  const slopes = {
    microsecondsPerEngine: fitLine(decisions.map((row) => [row.engines, row.microseconds])).slope,
    microsecondsPerCustomer: fitLine(decisions.map((row) => [row.customers, row.microseconds]))
      .slope,
    bytesPerCustomer: fitLine(memory.map(({ customers, bytes }) => [customers, bytes])).slope,
  };
  const print = (titles: ReadonlyArray<string>, rows: ReadonlyArray<object>): void => {
    const cells = rows.map((row) => Object.values(row).map((cell) => formatNumber(Number(cell))));
    process.stdout.write(`${formatTable(titles, cells)}\n\n`);
  };
  print(['engines', 'customers', 'decisions/s', 'us each'], decisions);
  print(['customers', 'estimator bytes'], memory);
  print(['us/engine', 'us/customer', 'bytes/customer'], [slopes]);
  mkdirSync('bench-results', { recursive: true });
  const results = JSON.stringify({ decisions, memory, slopes }, undefined, 2);
  writeFileSync('bench-results/decisions.json', `${results}\n`);
}

runBench();
