/**
 * Simulates one run: seeded arrivals, nodes that decide on delayed reports, and engines.
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

/** Fault of a run: an engine is lost halfway through, or runs at half speed from the start. */
export type BenchFault = 'none' | 'engine-lost' | 'half-speed';

export interface Scenario {
  readonly deployment: string;
  readonly row: string;
  readonly requestsPerSecond: number;
  readonly reportLagMs: number;
  readonly fault: BenchFault;
  readonly seed: number;
  /** Measures the throughput of saturated engines, which is taken as 100 % load. */
  readonly isCalibration?: boolean;
}

interface Simulation {
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

/** Lets the tasks that an event has woken run until they wait again. */
async function runWokenTasks(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}

function scheduleReports(
  { loop, engines, nodes }: Simulation,
  lagMs: number,
  random: SeededRandom,
): void {
  const { reportIntervalMs } = BENCH_OPTIONS;
  engines.forEach((engine, endpointId) => {
    nodes.forEach((node) => {
      const deliver = (): void => {
        if (!engine.isAlive) return;
        const report = engine.readReport();
        node.receiveReport(endpointId, report, lagMs);
        loop.schedule(loop.nowMs + reportIntervalMs, deliver);
      };
      // Gossip reaches the nodes at different times.
      loop.schedule(random.next() * reportIntervalMs, deliver);
    });
  });
}

function scheduleFault(
  { loop, engines, nodes }: Simulation,
  fault: BenchFault,
  atMs: number,
): void {
  const [target] = engines;
  if (!target || fault === 'none') return;
  const [endpointId, engine] = target;
  if (fault === 'half-speed') {
    loop.schedule(0, () => engine.setSpeed(0.5));
    return;
  }
  loop.schedule(atMs, () => engine.kill());
  loop.schedule(atMs + BENCH_OPTIONS.lossDetectionMs, () => {
    nodes.forEach((node) => node.fleet.removeEngine(endpointId));
  });
}

function createSimulation(
  scenario: Scenario,
  row: BenchRow,
  metrics: RunMetrics,
): Simulation & {
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
  { loop, nodes }: Pick<Simulation, 'loop' | 'nodes'>,
  requests: Iterator<BenchRequest>,
  byRegion: ReadonlyMap<string, ReadonlyArray<BenchNode>>,
  endMs: number,
): void {
  const next = requests.next().value as BenchRequest;
  if (next.arrivesAtMs >= endMs) return;
  loop.schedule(next.arrivesAtMs, () => {
    const regionNodes = byRegion.get(next.region) ?? nodes;
    void regionNodes[Math.floor(next.nodePick * regionNodes.length)]?.run(next);
    scheduleArrivals({ loop, nodes }, requests, byRegion, endMs);
  });
}

async function runUntil({ loop, engines, stop }: Simulation, endMs: number): Promise<void> {
  while (loop.runNext(endMs)) {
    // Most events are engine steps that wake no task.
    if (loop.hasWokenTask) await runWokenTasks();
  }
  stop.abort();
  engines.forEach((engine) => engine.kill());
  await runWokenTasks();
}

export async function simulate(scenario: Scenario): Promise<RunFigures> {
  const metrics = new RunMetrics();
  const row = BENCH_ROWS.find(({ name }) => name === scenario.row) as BenchRow;
  const simulation = createSimulation(scenario, row, metrics);
  const byRegion = new Map<string, BenchNode[]>();
  simulation.nodes.forEach((node) => {
    const { region } = node.fleet.self;
    byRegion.set(region, [...(byRegion.get(region) ?? []), node]);
  });
  scheduleReports(simulation, scenario.reportLagMs, new SeededRandom(scenario.seed));
  scheduleFault(simulation, scenario.fault, simulation.endMs - simulation.deployment.measureMs / 2);
  const requests = generateRequests(
    simulation.deployment,
    scenario.requestsPerSecond,
    scenario.seed,
  );
  scheduleArrivals(simulation, requests, byRegion, simulation.endMs);
  await runUntil(simulation, simulation.endMs);
  return metrics.getFigures();
}
