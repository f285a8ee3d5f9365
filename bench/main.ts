/**
 * `npm run bench [-- --deployment=<name>] [--set=loads|lags|faults] [--row=<text>]`: prints tables
 * and writes `bench-results/`.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { parseArgs } from 'node:util';
import { isMainThread, parentPort } from 'node:worker_threads';
import { CAPACITY_PER_SECOND, DEPLOYMENTS, type Deployment } from './deployments';
import { drawBarChart } from './drawBarChart';
import { formatNumber, formatTable } from './formatTable';
import type { RunFigures } from './RunMetrics';
import { BENCH_ROWS } from './rows';
import { runPool } from './runPool';
import { simulate, type BenchFault, type Scenario } from './simulate';

const RESULTS = 'bench-results';
const SEED = 11;

/** Requests per second for each engine, more than an engine can serve. */
const SATURATING_REQUESTS_PER_ENGINE = 4;

interface Conditions {
  readonly set: string;
  readonly load: number;
  readonly reportLagMs: number;
  readonly fault: BenchFault;
}

const CONDITIONS: ReadonlyArray<Conditions> = [
  ...[0.5, 0.8, 0.95, 1.2].map((load) => ({ load, set: 'loads', reportLagMs: 1_000 })),
  ...[0, 5_000].map((reportLagMs) => ({ load: 0.95, set: 'lags', reportLagMs })),
]
  .map((conditions): Conditions => ({ ...conditions, fault: 'none' }))
  .concat(
    (['engine-lost', 'half-speed'] as const).map((fault) => ({
      load: 0.8,
      set: 'faults',
      reportLagMs: 1_000,
      fault,
    })),
  );

const { values: options } = parseArgs({
  options: {
    deployment: { type: 'string', default: '' },
    set: { type: 'string', default: '' },
    calibrate: { type: 'boolean', default: false },
    row: { type: 'string', default: '' },
    load: { type: 'string', default: '' },
    seed: { type: 'string', default: String(SEED) },
  },
});

function createScenarios({ name }: Deployment, conditions: Conditions): ReadonlyArray<Scenario> {
  const { load, reportLagMs, fault } = conditions;
  return BENCH_ROWS.filter((row) => new RegExp(options.row).test(row.name)).map((row) => ({
    deployment: name,
    row: row.name,
    requestsPerSecond: (CAPACITY_PER_SECOND[name] ?? 0) * load,
    reportLagMs,
    fault,
    seed: Number(options.seed),
  }));
}

function report(
  { name }: Deployment,
  { load, reportLagMs, fault }: Conditions,
  scenarios: ReadonlyArray<Scenario>,
  figures: ReadonlyArray<RunFigures>,
): void {
  const columns = Object.keys(figures[0] ?? {});
  const title = `${name}: ${load * 100} % load, reports ${reportLagMs} ms late, fault: ${fault}`;
  const rows = scenarios.map(({ row }, index) => [
    row,
    ...columns.map((column) => formatNumber(figures[index]?.[column] ?? 0)),
  ]);
  process.stdout.write(`\n${title}\n${formatTable(['policy', ...columns], rows)}\n`);
  const file = path.join(RESULTS, `${name}-${load * 100}-${reportLagMs}-${fault}`);
  const results = scenarios.map((scenario, index) => ({ ...scenario, figures: figures[index] }));
  writeFileSync(`${file}.json`, `${JSON.stringify(results, undefined, 2)}\n`);
  const bars = scenarios.map(({ row }, index) => ({
    label: row,
    value: figures[index]?.reportStallS ?? 0,
  }));
  writeFileSync(`${file}.svg`, drawBarChart(`${title}: stall time of reports in seconds`, bars));
}

async function runBench(): Promise<void> {
  mkdirSync(RESULTS, { recursive: true });
  for (const deployment of DEPLOYMENTS) {
    if (!deployment.name.includes(options.deployment)) continue;
    for (const conditions of CONDITIONS) {
      if (!conditions.set.includes(options.set)) continue;
      if (options.load && Number(options.load) !== conditions.load * 100) continue;
      const scenarios = createScenarios(deployment, conditions);
      report(deployment, conditions, scenarios, await runPool(__filename, scenarios));
    }
  }
}

/** Prints the throughput of saturated engines, for CAPACITY_PER_SECOND. */
async function calibrate(): Promise<void> {
  const scenarios = DEPLOYMENTS.map(({ name, regions }): Scenario => ({
    deployment: name,
    row: 'least-outstanding',
    requestsPerSecond:
      SATURATING_REQUESTS_PER_ENGINE * regions.reduce((sum, at) => sum + at.engines, 0),
    reportLagMs: 0,
    fault: 'none',
    seed: SEED,
    isCalibration: true,
  }));
  const figures = await runPool(__filename, scenarios);
  DEPLOYMENTS.forEach(({ name, measureMs }, index) => {
    const { finishedReports = 0, finishedOthers = 0 } = figures[index] ?? {};
    const perSecond = ((finishedReports + finishedOthers) * 1_000) / measureMs;
    process.stdout.write(`${name}: ${perSecond.toFixed(2)} requests/s\n`);
  });
}

if (isMainThread) {
  void (options.calibrate ? calibrate() : runBench());
} else {
  parentPort?.on('message', (scenario: Scenario) => {
    void simulate(scenario).then((figures) => parentPort?.postMessage(figures));
  });
}
