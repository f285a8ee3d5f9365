/**
 * Runs the program from the command line: the bundle, and the single executable if it was built.
 */
import { execFile } from 'node:child_process';
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';

interface ProgramResult {
  readonly exitCode: number;
  readonly output: string;
  readonly errorOutput: string;
}

type Program = readonly [name: string, command: string, leadingArgs: ReadonlyArray<string>];

const BUNDLE: Program = ['bundle', process.execPath, ['dist/bramleyvane.cjs']];
const EXECUTABLE: Program = ['executable', path.resolve('dist/bramleyvane'), []];

const programs = existsSync(EXECUTABLE[1]) ? [BUNDLE, EXECUTABLE] : [BUNDLE];

const folder = mkdtempSync(path.join(tmpdir(), 'bramleyvane-'));

afterAll(() => rmSync(folder, { recursive: true }));

async function run(program: Program, ...args: ReadonlyArray<string>): Promise<ProgramResult> {
  const [, command, leadingArgs] = program;
  return new Promise((resolve) => {
    execFile(command, [...leadingArgs, ...args], { env: {} }, (error, output, errorOutput) => {
      const exitCode = typeof error?.code === 'number' ? error.code : 0;
      resolve({ exitCode, output, errorOutput });
    });
  });
}

function writeContract(name: string, value: unknown): string {
  const file = path.join(folder, name);
  writeFileSync(file, JSON.stringify(value));
  return file;
}

// Guards against an executable that lacks a component of the bundle.
test.each(programs)('%s: checks and explains the examples', async (...program) => {
  const files = ['examples/recup.json', 'examples/kelanisetu.json'];
  const checked = await run(program, 'contract', 'check', ...files);
  expect(checked).toMatchObject({ exitCode: 0, errorOutput: '' });
  const explained = await run(program, 'contract', 'explain', 'examples/recup.json');
  expect(explained.output).toContain('pickup-credit, rank 0, calls the service credits');
});

// Guards against examples that fail when a new user runs them.
test.each(
  programs.flatMap((program) => ['recup', 'kelanisetu'].map((name) => [name, program] as const)),
)('%s: the example calls succeed (%s)', async (name, program) => {
  const { output, exitCode } = await run(program, 'embedded', '--examples', '--deployment', name);
  expect({ output, exitCode }).toMatchObject({ exitCode: 0 });
  expect(output).toContain('the service ran it 1 time(s), both got the same answer');
});

// Guards against a first fault that hides the others, so that an operator needs one attempt for
// each.
test('reports all faults of a contract', async () => {
  const file = writeContract('bad.json', { customer: 'Bad Name', kindsOfWork: [] });
  const { exitCode, errorOutput } = await run(BUNDLE, 'contract', 'check', file);
  expect(exitCode).toBe(2);
  ['customer', 'keyHashes', 'homeRegion', 'limits', 'kindsOfWork'].forEach((clause) =>
    expect(errorOutput).toContain(`${file}: ${clause}: `),
  );
});

test('reports all faults of the settings', async () => {
  const { exitCode, errorOutput } = await run(BUNDLE, 'serve', '--caller-address', 'localhost:80');
  expect(exitCode).toBe(2);
  expect(errorOutput).toContain(
    '--caller-address (BRAMLEYVANE_CALLER_ADDRESS): expected an IP number',
  );
  expect(errorOutput).toContain('--fleet-key (BRAMLEYVANE_FLEET_KEY): missing');
  expect(errorOutput).toContain('--vm-list-url (BRAMLEYVANE_VM_LIST_URL): missing');
});

test.each([
  ['unknown command', ['bogus']],
  ['missing argument', ['why']],
  ['no log source', ['why', 'entry-1~0123456789abcdef']],
])('exits with 2: %s', async (_name, args) => {
  expect((await run(BUNDLE, ...args)).exitCode).toBe(2);
});

// Guards against a decision that cannot be explained once the VM that made it is gone.
test('explains a decision from collected log lines', async () => {
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
