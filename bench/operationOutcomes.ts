/**
 * How operations end under faults, with one and with two witnesses. Run by
 * `npm run bench:operations`.
 *
 * Each fault strikes after every possible number of delivered messages in turn, from the call's
 * first to its last. The outcome is what a caller is told that repeats the call at another node
 * while the fault lasts. Network and clock are simulated, so the counts are the same at every run.
 */
import { ServingError } from '../src/core';
import { OPERATION_OPTIONS } from '../src/plugins/operations/options';
import { SimulatedService } from '../tests/operationModel';
import { createCallContext, CUSTOMER, SimulatedFleet } from '../tests/SimulatedFleet';

const OWNER = 0;
const WITNESS = 1;
const ASKED = 3;
const NODE_COUNT = 4;

/** More than the messages of one call with two witnesses. */
const STRIKE_COUNT = 16;

const CALL = { operation: 0, variant: 0 };

type Fault = (fleet: SimulatedFleet) => Promise<void> | void;

function cut(...pairs: ReadonlyArray<readonly [number, number]>): Fault {
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
  'owner cut off from the asked node': cut([OWNER, ASKED]),
  'owner cut off from the witness': cut([OWNER, WITNESS]),
  'owner cut off from all nodes': cut([OWNER, 1], [OWNER, 2], [OWNER, ASKED]),
  'all restarted but the asked node': async (fleet) => {
    for (const node of [OWNER, 1, 2]) await fleet.restart(node);
  },
};

interface Trial {
  readonly told: string;
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
    await fleet.get(ASKED).operations.run(key, call, createCallContext());
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
  return { told: await fleet.settle(getOutcome(fleet, key)), runs };
}

function count(trials: ReadonlyArray<Trial>, told: string): number {
  return trials.filter((trial) => trial.told === told).length;
}

async function main(): Promise<void> {
  const cells = (values: ReadonlyArray<string | number>): string => `| ${values.join(' | ')} |\n`;
  process.stdout.write(cells(['fault', 'witnesses', 'answered', 'not-run', 'unknown', 'false']));
  process.stdout.write(cells(['---', '---', '---', '---', '---', '---']));
  for (const [name, fault] of Object.entries(FAULTS)) {
    for (const witnessCount of [1, 2]) {
      const trials: Trial[] = [];
      for (let injectAfter = 0; injectAfter < STRIKE_COUNT; injectAfter++) {
        trials.push(await runTrial(witnessCount, fault, injectAfter));
      }
      const counts = ['answered', 'not-run', 'unknown'].map((told) => count(trials, told));
      const falseCount = trials.filter(
        ({ told, runs }) => runs > 1 || (told === 'not-run' && runs > 0),
      ).length;
      process.stdout.write(cells([name, witnessCount, ...counts, falseCount]));
    }
  }
}

void main();
