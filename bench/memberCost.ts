/**
 * Measures what the exchange of states costs a node, by the size of the fleet: requests, bytes and
 * processor time a second, and the time in which all nodes know that one is gone. All nodes run in
 * this process over a network in memory, so links and their encryption are not included.
 */
import { MemberFleet } from '../tests/MemberFleet';

const SIZES = [8, 30, 66, 100, 195, 300] as const;
const MESH_DATA_CENTRES = 3;
const DATA_CENTRES = 6;
/** Endpoints on which each node has work or has measured a pace lately. */
const LOADED_ENDPOINTS = 20;
const WARM_UP_MS = 5_000;
const MEASURED_MS = 5_000;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const MAX_DEPARTURE_MS = 10_000;

interface MemberCost {
  readonly nodes: number;
  readonly requestsPerSecond: number;
  readonly bytesPerSecond: number;
  readonly cpuMsPerSecond: number;
  readonly departureMs: number;
}

async function measure(nodes: number): Promise<MemberCost> {
  const dataCentres = nodes < DATA_CENTRES * 2 ? MESH_DATA_CENTRES : DATA_CENTRES;
  const fleet = await MemberFleet.start(nodes, nodes, dataCentres, LOADED_ENDPOINTS);
  const { network } = fleet;
  await network.run(WARM_UP_MS);
  const requests = network.messageCounts.get('member.exchange') ?? 0;
  const bytes = network.transferredBytes;
  const cpu = process.cpuUsage();
  await network.run(MEASURED_MS);
  const { user, system } = process.cpuUsage(cpu);
  const nodeSeconds = (nodes * MEASURED_MS) / MS_PER_SECOND;
  const cost = {
    nodes,
    requestsPerSecond:
      ((network.messageCounts.get('member.exchange') ?? 0) - requests) / nodeSeconds,
    // Each byte is sent by one node and received by another.
    bytesPerSecond: (2 * (network.transferredBytes - bytes)) / nodeSeconds,
    cpuMsPerSecond: (user + system) / MICROSECONDS_PER_MS / nodeSeconds,
  };
  const gone = nodes - 1;
  await fleet.kill([gone]);
  const departureMs = await fleet.runUntil(MAX_DEPARTURE_MS, () =>
    fleet.listSeen(`front-${gone}`).every((isSeen) => !isSeen),
  );
  await fleet.stop();
  return { ...cost, departureMs };
}

async function main(): Promise<void> {
  const rows: MemberCost[] = [];
  for (const nodes of SIZES) rows.push(await measure(nodes));
  process.stdout.write(`${JSON.stringify(rows, undefined, 2)}\n`);
}

void main();
