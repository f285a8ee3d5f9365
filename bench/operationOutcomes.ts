/**
 * Counts how operations end under faults, with one and with two witnesses. Run by
 * `npm run bench:operations`.
 *
 * Each fault is injected after every possible number of delivered messages in turn, from the first
 * to the last of the call. The outcome is that of a caller who repeats the call at another node
 * while the fault lasts. Network and clock are simulated, so the counts are the same in every run.
 */
import { ServingError } from '../src/core';
import { OPERATION_OPTIONS } from '../src/plugins/operations/options';
import { SimulatedService } from '../tests/operationModel';
import { createCallContext, CUSTOMER, SimulatedFleet } from '../tests/SimulatedFleet';

const OWNER = 0;
const WITNESS = 1;
const ASKED_NODE = 3;
const NODE_COUNT = 4;

/** More than the number of messages of one call with two witnesses. */
const INJECTION_COUNT = 16;

const CALL = { operation: 0, variant: 0 };

type Fault = (fleet: SimulatedFleet) => Promise<void> | void;

function disconnect(...pairs: ReadonlyArray<readonly [number, number]>): Fault {
  return (fleet) => {
    const names = pairs.map(([one, other]) => [fleet.get(one).vmId, fleet.get(other).vmId]);
    fleet.setIntercept(({ from, to }) =>
      names.some(([one, other]) => (from === one && to === other) || (from === other && to === one))
        ? 'drop'
        : undefined,
    );
  };
}

const FAULTS: Readonly<Record<string, Fault>> = {
  'no fault': () => {},
  'owner killed': (fleet) => fleet.kill(OWNER),
  'owner restarted': async (fleet) => fleet.restart(OWNER),
  'owner paused': (fleet) => fleet.pause(OWNER, true),
  'witness killed': (fleet) => fleet.kill(WITNESS),
  'witness restarted': async (fleet) => fleet.restart(WITNESS),
  'owner killed, witness restarted': async (fleet) => {
    fleet.kill(OWNER);
    await fleet.restart(WITNESS);
  },
  'owner cut off from the asked node': disconnect([OWNER, ASKED_NODE]),
  'owner cut off from the witness': disconnect([OWNER, WITNESS]),
  'owner cut off from all nodes': disconnect([OWNER, 1], [OWNER, 2], [OWNER, ASKED_NODE]),
  'all restarted but the asked node': async (fleet) => {
    for (const node of [OWNER, 1, 2]) await fleet.restart(node);
  },
};

interface Trial {
  readonly outcome: string;
  readonly runs: number;
}

async function getOutcome(fleet: SimulatedFleet, key: string): Promise<string> {
  const call = {
    method: 'POST',
    path: '/credit',
    headers: {},
    body: Buffer.from(JSON.stringify(CALL)),
  };
  try {
    await fleet.get(ASKED_NODE).operations.run(key, call, createCallContext());
    return 'answered';
  } catch (thrown) {
    return ServingError.from(thrown).kind === 'outcome-unknown' ? 'unknown' : 'not-run';
  }
}

async function runTrial(witnessCount: number, fault: Fault, injectAfter: number): Promise<Trial> {
  let runs = 0;
  const recordRun = (): string => {
    runs += 1;
    return 'done';
  };
  const fleet = new SimulatedFleet({
    nodeCount: NODE_COUNT,
    options: { ...OPERATION_OPTIONS, witnessCount },
    createServiceCalls: (simulated, self) =>
      new SimulatedService({ recordDispatch: () => {}, recordRun }, simulated, self),
  });
  await fleet.start();
  const { key } = await fleet.settle(fleet.get(OWNER).operations.issueTicket(CUSTOMER, 'credit'));
  const first = getOutcome(fleet, key);
  await fleet.flush();
  for (let delivered = 0; delivered < injectAfter; delivered++) {
    fleet.dequeue(0)?.deliver();
    await fleet.flush();
  }
  await fault(fleet);
  await fleet.settle(first);
  return { outcome: await fleet.settle(getOutcome(fleet, key)), runs };
}

function count(trials: ReadonlyArray<Trial>, outcome: string): number {
  return trials.filter((trial) => trial.outcome === outcome).length;
}

async function main(): Promise<void> {
  const cells = (values: ReadonlyArray<string | number>): string => `| ${values.join(' | ')} |\n`;
  process.stdout.write(cells(['fault', 'witnesses', 'answered', 'not-run', 'unknown', 'false']));
  process.stdout.write(cells(['---', '---', '---', '---', '---', '---']));
  for (const [name, fault] of Object.entries(FAULTS)) {
    for (const witnessCount of [1, 2]) {
      const trials: Trial[] = [];
      for (let injectAfter = 0; injectAfter < INJECTION_COUNT; injectAfter++) {
        trials.push(await runTrial(witnessCount, fault, injectAfter));
      }
      const counts = ['answered', 'not-run', 'unknown'].map((outcome) => count(trials, outcome));
      const falseCount = trials.filter(
        ({ outcome, runs }) => runs > 1 || (outcome === 'not-run' && runs > 0),
      ).length;
      process.stdout.write(cells([name, witnessCount, ...counts, falseCount]));
    }
  }
}

void main();
