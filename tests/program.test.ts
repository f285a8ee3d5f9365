/**
 * The program as a person runs it: the bundle, and the single executable where it was built.
 */
import { execFile } from 'node:child_process';
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';

interface Finished {
  readonly exitCode: number;
  readonly output: string;
  readonly notes: string;
}

type Program = readonly [name: string, command: string, leading: ReadonlyArray<string>];

const BUNDLE: Program = ['bundle', process.execPath, ['dist/bramleyvane.cjs']];
const EXECUTABLE: Program = ['executable', path.resolve('dist/bramleyvane'), []];

const programs = existsSync(EXECUTABLE[1]) ? [BUNDLE, EXECUTABLE] : [BUNDLE];

const folder = mkdtempSync(path.join(tmpdir(), 'bramleyvane-'));

afterAll(() => rmSync(folder, { recursive: true }));

async function run(program: Program, ...args: ReadonlyArray<string>): Promise<Finished> {
  const [, command, leading] = program;
  return new Promise((resolve) => {
    execFile(command, [...leading, ...args], { env: {} }, (error, output, notes) => {
      const exitCode = typeof error?.code === 'number' ? error.code : 0;
      resolve({ exitCode, output, notes });
    });
  });
}

function writeContract(name: string, value: unknown): string {
  const file = path.join(folder, name);
  writeFileSync(file, JSON.stringify(value));
  return file;
}

// Guards against an executable that lacks a part which the bundle has.
test.each(programs)('%s: checks and explains the examples', async (...program) => {
  const files = ['examples/recup.json', 'examples/kelanisetu.json'];
  const checked = await run(program, 'contract', 'check', ...files);
  expect(checked).toMatchObject({ exitCode: 0, notes: '' });
  const explained = await run(program, 'contract', 'explain', 'examples/recup.json');
  expect(explained.output).toContain('pickup-credit, rank 0, calls the service credits');
});

// Guards against the main job failing for a newcomer.
test.each(
  programs.flatMap((program) => ['recup', 'kelanisetu'].map((name) => [name, program] as const)),
)('%s: the example calls end as promised (%s)', async (name, program) => {
  const { output, exitCode } = await run(program, 'embedded', '--examples', '--deployment', name);
  expect({ output, exitCode }).toMatchObject({ exitCode: 0 });
  expect(output).toContain('the service ran it 1 time(s), both got the same answer');
});

// Guards against one fault hiding the next, which costs an operator a round for each.
test('reports all faults of a contract', async () => {
  const file = writeContract('bad.json', { customer: 'Bad Name', kindsOfWork: [] });
  const { exitCode, notes } = await run(BUNDLE, 'contract', 'check', file);
  expect(exitCode).toBe(2);
  ['customer', 'keyHashes', 'homeRegion', 'limits', 'kindsOfWork'].forEach((clause) =>
    expect(notes).toContain(`${file}: ${clause}: `),
  );
});

test('reports all faults of the settings', async () => {
  const { exitCode, notes } = await run(BUNDLE, 'serve', '--caller-address', 'localhost:80');
  expect(exitCode).toBe(2);
  expect(notes).toContain('--caller-address (BRAMLEYVANE_CALLER_ADDRESS): expected an IP number');
  expect(notes).toContain('--fleet-key (BRAMLEYVANE_FLEET_KEY): missing');
  expect(notes).toContain('--vm-list-url (BRAMLEYVANE_VM_LIST_URL): missing');
});

test.each([
  ['unknown command', ['bogus']],
  ['missing argument', ['why']],
  ['no source to ask', ['why', 'entry-1~0123456789abcdef']],
])('exits with 2: %s', async (_name, args) => {
  expect((await run(BUNDLE, ...args)).exitCode).toBe(2);
});

// Guards against a question that can't be answered once the deciding VM is gone.
test('answers why from collected log lines', async () => {
  const requestId = 'entry-1~0123456789abcdef';
  const log = path.join(folder, 'log.jsonl');
  const decision = {
    requestId,
    customer: 'cafe',
    step: 'refuse',
    clause: 'limits.requestsPerSecond',
    contractRevision: 7,
    reason: 'the customer has used its rate',
    wallMs: 0,
  };
  const other = { ...decision, requestId: 'entry-1~00000000000000ff', reason: 'another' };
  writeFileSync(log, [other, decision].map((line) => JSON.stringify(line)).join('\n'));
  const { output, exitCode } = await run(BUNDLE, 'why', requestId, '--log', log);
  expect(exitCode).toBe(0);
  expect(output).toBe(
    '1970-01-01T00:00:00.000Z The request was refused: the customer has used its rate. ' +
      'This follows from the contract clause limits.requestsPerSecond, contract revision 7.\n',
  );
});
