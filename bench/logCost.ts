/**
 * Measures the CPU time of a log line that is formatted, that the bounded writer drops, or that is
 * below the level.
 *
 * Run by `node scripts/bench.mjs logCost > FILE`: lines go to standard output as in the program, the
 * result to standard error.
 */
import { SystemClock } from '../src/core';
import { Log } from '../src/kernel';

const LINES = 100_000;
const MICROSECONDS_PER_MS = 1_000;

const FIELDS = {
  requestId: '1391956aac578e7f',
  customer: 'mise820',
  configurationVersion: 2,
  clause: 'routes.r-p37m38e.targets',
  step: 'route',
  service: 'huje15a',
  knownTokens: 1_734,
  growthTokens: 114,
  excluded: [],
  confirmedAgeMs: 993,
  outcome: 'place',
  endpointId: 'i-1a9beb3273',
  cost: 0.7348587605772064,
  candidates: 4,
  takenShare: 0.6591784276638052,
};

const clock = new SystemClock();

function measure(name: string, log: Log): void {
  const before = process.cpuUsage();
  const startedMs = clock.nowMs();
  for (let line = 0; line < LINES; line++) log.info('decision', FIELDS);
  const { user, system } = process.cpuUsage(before);
  const elapsedMs = clock.nowMs() - startedMs;
  const cpuEach = ((user + system) / LINES).toFixed(1);
  const elapsedEach = ((elapsedMs * MICROSECONDS_PER_MS) / LINES).toFixed(1);
  process.stderr.write(`${name}: ${cpuEach} us of CPU time, ${elapsedEach} us elapsed\n`);
}

const fields = { vmId: 'front-1' };
measure('formatted, then dropped', new Log({ level: 'info', fields, write: () => {} }));
measure('bounded writer, nearly all dropped', new Log({ level: 'info', fields }));
measure('below the level', new Log({ level: 'error', fields }));
