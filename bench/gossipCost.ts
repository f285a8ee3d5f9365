/**
 * Measures the cost of gossip for one node over the number of nodes, records and endpoints.
 *
 * Starts the nodes in this process, with real links on 127.0.0.1. Varies one number at a time and
 * prints the slope over it. Reports change randomly once a second; records change at the rate given
 * in the design. CPU and memory are those of the process divided by the number of nodes, so they
 * include the links, gossip and the replicas of the records, but not the polling of endpoints.
 *
 * Usage: npm run bench:gossip [-- <seconds> [nodes|records|endpoints|large]]
 */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { collectGarbage } from './collectGarbage';
import { TestNode } from '../tests/TestNode';
import type { EndpointId, EndpointReport, Vm, VmId } from '../src/core';
import { chooseReporters } from '../src/decisions';
import { GossipPlugin } from '../src/plugins/gossip';
import { ControlTraffic, Fleet, PublishedState, SourceProgress } from '../src/services';

const WARM_UP_MS = 8_000;
const DEFAULT_SECONDS = 15;
const NODES_PER_DATA_CENTRE = 26;
const DATA_CENTRES_PER_REGION = 2;
const CHANGES_PER_SECOND = 4_700 / 86_400;
const RECORD_BYTES = 900;
const MEMORY_TOKENS = 500_000;
/** Ethernet, IP, TCP and WebSocket headers of a frame that is sent in a packet of its own. */
const FRAME_HEADER_BYTES = 72;

interface Load {
  readonly nodes: number;
  readonly records: number;
  readonly endpoints: number;
}

interface Cost {
  readonly bytesPerSecond: number;
  readonly wireBytesPerSecond: number;
  readonly cpuShare: number;
  readonly memoryMb: number;
  readonly maxStateAgeMs: number;
  readonly maxReportAgeMs: number;
  readonly maxListAgeMs: number;
  /** Ages are valid only while this is small, because one thread runs all the nodes. */
  readonly maxLoopDelayMs: number;
}

const BASE: Load = { nodes: 26, records: 1_000, endpoints: 50 };

const SERIES: Readonly<Record<keyof Load, ReadonlyArray<number>>> = {
  nodes: [9, 26, 52, 78],
  records: [1_000, 6_000, 11_000],
  endpoints: [6, 50, 100, 200],
};

/** One region at the target size, limited to the nodes that one thread can run. */
const LARGE: Load = { nodes: 52, records: 11_000, endpoints: 200 };

function getLocation(index: number): { readonly dataCentre: string; readonly region: string } {
  const dataCentre = Math.floor(index / NODES_PER_DATA_CENTRE);
  const region = Math.floor(dataCentre / DATA_CENTRES_PER_REGION);
  return { dataCentre: `dc-${dataCentre}`, region: `region-${region}` };
}

function createEngine(index: number, load: Load): Vm {
  return {
    vmId: `engine-${index}` as VmId,
    role: 'engine',
    url: 'http://127.0.0.1:9',
    // Distributed like the nodes of the first region, where the costs are measured.
    ...getLocation(index % Math.min(load.nodes, NODES_PER_DATA_CENTRE * DATA_CENTRES_PER_REGION)),
    state: 'live',
    models: ['summary-1', 'label-1', 'lookup-1'],
  };
}

async function startNodes(load: Load): Promise<ReadonlyArray<TestNode>> {
  const nodes = Array.from(
    { length: load.nodes },
    (_, index) =>
      new TestNode({
        vmId: `entry-${index}`,
        settings: { ...getLocation(index), logLevel: 'error' },
        plugins: [GossipPlugin],
      }),
  );
  for (const node of nodes) await node.start();
  const engines = Array.from({ length: load.endpoints }, (_, index) => createEngine(index, load));
  const vms = [...nodes.map(({ vm }) => vm), ...engines];
  const body = JSON.stringify({ text: 'x'.repeat(RECORD_BYTES) });
  const records = Array.from({ length: load.records }, (_, index) => ({
    key: `bench/team-${index}`,
    revision: index + 1,
    body,
  }));
  nodes.forEach((node) => {
    node.mergeVms(vms);
    node.get(PublishedState).merge(records);
    node.get(SourceProgress).markComplete('vm-list', 1);
    node.get(SourceProgress).markComplete('configuration', load.records);
  });
  return nodes;
}

/** Varies a report like that of a busy engine: memory use and running requests rise and fall. */
function varyReport(before: EndpointReport | undefined): EndpointReport {
  const used = before?.memoryUsedTokens ?? Math.random() * MEMORY_TOKENS;
  const changed = used + (Math.random() - 0.5) * 0.03 * MEMORY_TOKENS;
  const running = before?.running ?? 20;
  return {
    memoryUsedTokens: Math.round(Math.min(MEMORY_TOKENS, Math.max(0, changed))),
    memoryTotalTokens: MEMORY_TOKENS,
    running: Math.max(0, running + Math.round((Math.random() - 0.5) * 3)),
    waiting: before?.waiting ?? 0,
    preemptions: before?.preemptions ?? 0,
    leaving: false,
    models: ['summary-1', 'label-1', 'lookup-1'],
  };
}

/**
 * Applies the updates that pollers of endpoints and readers of the sources make, without HTTP.
 * Returns a function that stops them.
 */
function startUpdates(nodes: ReadonlyArray<TestNode>, load: Load): () => void {
  const assignments = Array.from({ length: load.endpoints }, (_, index) => {
    const { vmId, dataCentre, region } = createEngine(index, load);
    const candidates = nodes.map(({ vm }) => ({ ...vm, isServing: true }));
    const chosen = chooseReporters({ endpointId: vmId, dataCentre, region }, candidates, 2);
    return { endpointId: vmId as string as EndpointId, vmIds: chosen };
  });
  let revision = load.records;
  const timer = setInterval(() => {
    assignments.forEach(({ endpointId, vmIds }) => {
      const reporters = nodes.filter(({ settings }) => vmIds.includes(settings.vmId));
      const report = varyReport(reporters[0]?.get(Fleet).findEndpoint(endpointId)?.report);
      reporters.forEach((node) => node.get(Fleet).mergeReports([{ endpointId, report, ageMs: 0 }]));
    });
    const readers = nodes.filter((_, index) => index % NODES_PER_DATA_CENTRE < 2);
    readers.forEach((node) => {
      node.get(PublishedState).confirm('vm-list', 250);
      node.get(PublishedState).confirm('configuration', 250);
    });
    if (Math.random() < CHANGES_PER_SECOND) {
      revision += 1;
      const key = `bench/team-${revision % load.records}`;
      readers[0]?.get(PublishedState).merge([{ key, revision, body: 'y'.repeat(RECORD_BYTES) }]);
    }
  }, 1_000);
  return () => clearInterval(timer);
}

interface Traffic {
  readonly bytes: number;
  readonly frames: number;
}

function sumTraffic(nodes: ReadonlyArray<TestNode>): Traffic {
  const counts = nodes.flatMap((node) => [...node.get(ControlTraffic).listByType().values()]);
  return {
    bytes: counts.reduce((sum, count) => sum + count.sentBytes + count.receivedBytes, 0),
    frames: counts.reduce((sum, count) => sum + count.sentFrames + count.receivedFrames, 0),
  };
}

async function pause(delayMs: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Returns the greatest ages of states, reports and lists at any node, for its own region. */
function findMaxAges(nodes: ReadonlyArray<TestNode>): readonly [number, number, number] {
  const states = nodes.flatMap((node) =>
    node
      .get(Fleet)
      .listNodes()
      .filter(({ vm }) => vm.region === node.settings.region)
      .map(({ stateAgeMs }) => stateAgeMs),
  );
  const reports = nodes.flatMap((node) =>
    node
      .get(Fleet)
      .listEndpoints()
      .filter(({ vm }) => vm.region === node.settings.region)
      .map(({ reportAgeMs }) => reportAgeMs),
  );
  const lists = nodes.map((node) => node.get(PublishedState).getConfirmedAgeMs('vm-list'));
  return [Math.max(...states), Math.max(0, ...reports), Math.max(...lists)];
}

const print = (...parts: ReadonlyArray<string>): unknown =>
  process.stdout.write(`${parts.join(' ')}\n`);

const mergeMaxAges = (before: ReadonlyArray<number>, now: ReadonlyArray<number>): typeof before =>
  now.map((ageMs, index) => Math.max(ageMs, before[index] ?? 0));

async function measure(load: Load, seconds: number): Promise<Cost> {
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const nodes = await startNodes(load);
  const stopUpdates = startUpdates(nodes, load);
  await pause(WARM_UP_MS);
  const [traffic, cpu, startMs] = [sumTraffic(nodes), process.cpuUsage(), performance.now()];
  let maxAges: ReadonlyArray<number> = [0, 0, 0];
  const loopDelay = monitorEventLoopDelay();
  loopDelay.enable();
  for (let second = 0; second < seconds; second++) {
    await pause(1_000);
    maxAges = mergeMaxAges(maxAges, findMaxAges(nodes));
    if (process.env.BENCH_TRACE) print(maxAges.map((ageMs) => ageMs.toFixed(0)).join(' '));
  }
  const elapsedS = (performance.now() - startMs) / 1_000;
  const spent = process.cpuUsage(cpu);
  const after = sumTraffic(nodes);
  collectGarbage();
  const heap = process.memoryUsage().heapUsed - heapBefore;
  stopUpdates();
  await Promise.all(nodes.map(async (node) => node.dispose()));
  const bytesPerSecond = (after.bytes - traffic.bytes) / elapsedS / load.nodes;
  const framesPerSecond = (after.frames - traffic.frames) / elapsedS / load.nodes;
  return {
    bytesPerSecond,
    wireBytesPerSecond: bytesPerSecond + framesPerSecond * FRAME_HEADER_BYTES,
    cpuShare: (spent.user + spent.system) / 1e6 / elapsedS / load.nodes,
    memoryMb: heap / 2 ** 20 / load.nodes,
    maxStateAgeMs: maxAges[0] ?? 0,
    maxReportAgeMs: maxAges[1] ?? 0,
    maxListAgeMs: maxAges[2] ?? 0,
    maxLoopDelayMs: loopDelay.max / 1e6,
  };
}

function printCost(load: Load, cost: Cost): void {
  print(
    `nodes ${load.nodes} records ${load.records} endpoints ${load.endpoints}:`,
    `${cost.bytesPerSecond.toFixed(0)} B/s in and out,`,
    `${cost.wireBytesPerSecond.toFixed(0)} B/s with headers,`,
    `${(cost.cpuShare * 100).toFixed(2)} % of a core,`,
    `${cost.memoryMb.toFixed(1)} MB heap;`,
    `oldest state ${cost.maxStateAgeMs.toFixed(0)} ms,`,
    `report ${cost.maxReportAgeMs.toFixed(0)} ms, list ${cost.maxListAgeMs.toFixed(0)} ms,`,
    `longest delay of the event loop ${cost.maxLoopDelayMs.toFixed(0)} ms`,
  );
}

/** Least-squares fit. */
function computeSlope(points: ReadonlyArray<readonly [number, number]>): number {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  return covariance / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
}

async function main(): Promise<void> {
  const seconds = Number(process.argv[2] ?? DEFAULT_SECONDS);
  const only = process.argv[3] as keyof Load | 'large' | undefined;
  if (only === undefined || only === 'large') printCost(LARGE, await measure(LARGE, seconds));
  const names = (Object.keys(SERIES) as ReadonlyArray<keyof Load>).filter(
    (name) => only === undefined || name === only,
  );
  for (const name of names) {
    const points: Array<readonly [number, Cost]> = [];
    for (const value of SERIES[name]) {
      const load = { ...BASE, [name]: value };
      const cost = await measure(load, seconds);
      printCost(load, cost);
      points.push([value, cost]);
    }
    const getSlope = (get: (cost: Cost) => number): number =>
      computeSlope(points.map(([value, cost]) => [value, get(cost)]));
    print(
      `slope over ${name}:`,
      `${getSlope((cost) => cost.wireBytesPerSecond).toFixed(3)} B/s,`,
      `${(getSlope((cost) => cost.cpuShare) * 100).toFixed(5)} % of a core,`,
      `${getSlope((cost) => cost.memoryMb).toFixed(5)} MB each`,
    );
  }
  process.exit(0);
}

void main();
