/**
 * One run: seeded arrivals, deciding nodes with lagging reports, and engines.
 */
import { vmSchema, type EndpointId, type Vm } from '../src/core';
import { SeededRandom } from '../src/decisions';
import type { FleetNode } from '../src/services';
import { BenchEngine } from './BenchEngine';
import { BenchNode } from './BenchNode';
import { DEPLOYMENTS, type Deployment } from './deployments';
import { EventLoop } from './EventLoop';
import { RunMetrics, type RunFigures } from './RunMetrics';
import { BENCH_OPTIONS } from './options';
import { BENCH_ROWS, type BenchRow } from './rows';
import { generateRequests, type BenchRequest } from './workload';

/** What goes wrong in a run, at its middle. */
export type BenchFault = 'none' | 'engine-lost' | 'half-speed';

export interface Scenario {
  readonly deployment: string;
  readonly row: string;
  readonly requestsPerSecond: number;
  readonly reportLagMs: number;
  readonly fault: BenchFault;
  readonly seed: number;
  /** Measures what saturated engines finish, which is taken as 100 % load. */
  readonly isCalibration?: boolean;
}

interface Run {
  readonly loop: EventLoop;
  readonly engines: ReadonlyMap<EndpointId, BenchEngine>;
  readonly nodes: ReadonlyArray<BenchNode>;
  readonly stop: AbortController;
}

function createVms({ regions, kinds }: Deployment, role: 'engine' | 'entry'): ReadonlyArray<Vm> {
  return regions.flatMap((region) =>
    Array.from({ length: role === 'engine' ? region.engines : region.nodes }, (_, index) =>
      vmSchema.parse({
        vmId: `${role}-${region.name}-${index}`,
        role,
        url: 'http://127.0.0.1:9',
        dataCentre: region.name,
        region: region.name,
        state: 'live',
        models: role === 'engine' ? [kinds[0]?.clause.model] : undefined,
      }),
    ),
  );
}

function toFleetNode(vm: Vm): FleetNode {
  return { vm, incarnation: undefined, state: 'serving', stateAgeMs: 0 };
}

/** Lets the tasks that an event has woken run up to their next wait. */
async function runTasks(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}

function scheduleReports({ loop, engines, nodes }: Run, lagMs: number, random: SeededRandom): void {
  const { reportIntervalMs } = BENCH_OPTIONS;
  engines.forEach((engine, endpointId) => {
    nodes.forEach((node) => {
      const deliver = (): void => {
        if (!engine.isAlive) return;
        const report = engine.readReport();
        node.receiveReport(endpointId, report, lagMs);
        loop.schedule(loop.nowMs + reportIntervalMs, deliver);
      };
      // Gossip reaches the nodes at different moments.
      loop.schedule(random.next() * reportIntervalMs, deliver);
    });
  });
}

function scheduleFault({ loop, engines, nodes }: Run, fault: BenchFault, atMs: number): void {
  const [victim] = engines;
  if (!victim || fault === 'none') return;
  const [endpointId, engine] = victim;
  if (fault === 'half-speed') {
    loop.schedule(0, () => engine.setSpeed(0.5));
    return;
  }
  loop.schedule(atMs, () => engine.kill());
  loop.schedule(atMs + BENCH_OPTIONS.lossDetectionMs, () => {
    nodes.forEach((node) => node.fleet.removeEngine(endpointId));
  });
}

function createRun(
  scenario: Scenario,
  row: BenchRow,
  metrics: RunMetrics,
): Run & {
  readonly deployment: Deployment;
  readonly endMs: number;
} {
  const deployment = DEPLOYMENTS.find(({ name }) => name === scenario.deployment) as Deployment;
  const loop = new EventLoop();
  const stop = new AbortController();
  const engines = new Map(
    createVms(deployment, 'engine').map((vm) => [
      vm.vmId as string as EndpointId,
      new BenchEngine(loop, vm, deployment, scenario.reportLagMs),
    ]),
  );
  const endMs = BENCH_OPTIONS.warmUpMs + deployment.measureMs;
  const entryVms = createVms(deployment, 'entry');
  const nodes = entryVms.map(
    (vm, index) =>
      new BenchNode({
        loop,
        self: vm,
        seed: scenario.seed * 1_000 + index,
        row,
        deployment,
        engines,
        vms: [...engines.values()].map((engine) => engine.vm),
        nodes: entryVms.map(toFleetNode),
        metrics,
        stopSignal: stop.signal,
        hasFlatPriority: scenario.isCalibration ?? false,
        isMeasured: ({ arrivesAtMs }) =>
          arrivesAtMs >= BENCH_OPTIONS.warmUpMs && arrivesAtMs < endMs,
      }),
  );
  return { loop, engines, nodes, stop, deployment, endMs };
}

function scheduleArrivals(
  { loop, nodes }: Pick<Run, 'loop' | 'nodes'>,
  requests: Iterator<BenchRequest>,
  byRegion: ReadonlyMap<string, ReadonlyArray<BenchNode>>,
  endMs: number,
): void {
  const next = requests.next().value as BenchRequest;
  if (next.arrivesAtMs >= endMs) return;
  loop.schedule(next.arrivesAtMs, () => {
    const near = byRegion.get(next.region) ?? nodes;
    void near[Math.floor(next.nodePick * near.length)]?.run(next);
    scheduleArrivals({ loop, nodes }, requests, byRegion, endMs);
  });
}

async function runUntil({ loop, engines, stop }: Run, endMs: number): Promise<void> {
  while (loop.runNext(endMs)) {
    // Most events are engine steps that wake no task.
    if (loop.hasWokenTask) await runTasks();
  }
  stop.abort();
  engines.forEach((engine) => engine.kill());
  await runTasks();
}

export async function simulate(scenario: Scenario): Promise<RunFigures> {
  const measures = new RunMetrics();
  const row = BENCH_ROWS.find(({ name }) => name === scenario.row) as BenchRow;
  const run = createRun(scenario, row, measures);
  const byRegion = new Map<string, BenchNode[]>();
  run.nodes.forEach((node) => {
    const { region } = node.fleet.self;
    byRegion.set(region, [...(byRegion.get(region) ?? []), node]);
  });
  scheduleReports(run, scenario.reportLagMs, new SeededRandom(scenario.seed));
  scheduleFault(run, scenario.fault, run.endMs - run.deployment.measureMs / 2);
  const requests = generateRequests(run.deployment, scenario.requestsPerSecond, scenario.seed);
  scheduleArrivals(run, requests, byRegion, run.endMs);
  await runUntil(run, run.endMs);
  return measures.getFigures();
}
