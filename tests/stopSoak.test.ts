import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseFrontSettings } from '../src/core';
import { SeededRandom } from '../src/decisions';
import { createStoreConfiguration, FrontFixture } from './FrontFixture';
import { ManagedProcess } from './ManagedProcess';
import { RawCaller } from './RawCaller';
import { waitUntil } from './waitUntil';

const GRACE_SECONDS = 2;
const CALLERS = 24;
const KINDS = ['lookup', 'credit', 'report', 'label'];

/** `STOP_SOAK_SEEDS=1-50` plays other seeds by hand. */
function listSeeds(): ReadonlyArray<number> {
  const [first = 1, last = 2] = (process.env.STOP_SOAK_SEEDS ?? '1-2').split('-').map(Number);
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

interface SoakRequest {
  readonly requestId: string;
  readonly kind: string;
  /** Everything received on the connection from this request to the next one or to its end. */
  readonly answer: string;
}

function isComplete(answer: string): boolean {
  const [head = '', ...rest] = answer.split('\r\n\r\n');
  if (rest.length === 0) return false;
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  if (length === undefined) return answer.endsWith('0\r\n\r\n');
  return rest.join('\r\n\r\n').length >= Number(length);
}

/** Sends requests on one connection, which the node may keep open, until it is closed. */
async function sendSeries(
  caller: RawCaller,
  random: SeededRandom,
  record: (request: SoakRequest) => void,
): Promise<void> {
  while (!caller.isClosed) {
    const kind = KINDS[random.nextIndex(KINDS.length)]!;
    const limitMs = random.next() < 0.5 ? 400 : 30_000;
    const offset = caller.received.length;
    const headers = [`X-Bramleyvane-Deadline-Ms: ${limitMs}`];
    const requestId = caller.send(`GET /${kind}/a HTTP/1.1`, headers);
    while (!isComplete(caller.received.slice(offset)) && !caller.isClosed) await sleep(5);
    record({ requestId, kind, answer: caller.received.slice(offset) });
    await sleep(random.next() * 40);
  }
}

/** Returns what is wrong with the outcome of a request; undefined if nothing is. */
function findProblem(
  { kind, answer }: SoakRequest,
  runs: number,
  wasRead: boolean,
): string | undefined {
  const isStream = kind === 'report' || kind === 'label';
  const status = answer.slice('HTTP/1.1 '.length).slice(0, 3);
  if (['credit', 'report'].includes(kind) && runs > 1) return 'ran twice';
  if (status === '503' && runs > 0) return 'ran although it was refused';
  if (wasRead && answer === '') return 'got no answer';
  if (wasRead && !isStream && !isComplete(answer)) return 'got a part of an answer';
  return undefined;
}

// Guards against a request that is read and ends without an answer, one that runs after it was
// refused, and a second run of one that may not be repeated, while signals and configurations come in
// series and callers use their connections until the process is gone.
test.each(listSeeds())('a stop answers all that it has read, seed %i', async (seed) => {
  const random = new SeededRandom(seed);
  const fixture = await FrontFixture.start();
  const folder = mkdtempSync(path.join(tmpdir(), 'bramleyvane-'));
  const file = path.join(folder, 'settings.json');
  fixture.store.put('op/config', createStoreConfiguration());
  const callMs = random.nextIndex(300);
  await fixture.addEngine('desk', { instanceId: 'i-1', callMs });
  await fixture.addEngine('desk', { instanceId: 'i-2', callMs: 3 });
  await fixture.addEngine('writers', { instanceId: 'i-3', events: 20, eventIntervalMs: 10 });
  const text = await fixture.createSettingsJson({ shutdownGraceSeconds: GRACE_SECONDS });
  writeFileSync(file, text);
  const target = { settings: parseFrontSettings(text) };
  const node = new ManagedProcess(['dist/bramleyvane.cjs', 'front', '--settings-file', file]);
  try {
    await node.waitForLine('the listener', ({ event }) => event === 'listening for callers');
    await sleep(300);
    const requests: SoakRequest[] = [];
    const runCaller = async (): Promise<void> => {
      while (!node.hasEnded) {
        const caller = new RawCaller(target);
        await sendSeries(caller, random, (request) => requests.push(request));
        await sleep(10);
      }
    };
    const callers = Array.from({ length: CALLERS }, runCaller);
    await sleep(300);
    const startedMs = performance.now();
    node.terminate();
    for (let version = 6; !node.hasEnded; version++) {
      await sleep(random.next() * 120);
      const choice = random.nextIndex(4);
      if (choice === 0) node.terminate();
      if (choice === 1) node.reload();
      if (choice === 2) fixture.store.put('op/config', createStoreConfiguration({ version }));
      if (choice === 3) fixture.store.behaviour = random.next() < 0.5 ? 'silent' : 'answer';
    }
    expect(performance.now() - startedMs).toBeLessThan(GRACE_SECONDS * 1_000);
    await Promise.all(callers);
    const executed = fixture.engines.flatMap((engine) => engine.executedRequestIds);
    const read = new Set(node.lines.map(({ requestId }) => requestId));
    const problems = requests.flatMap((request) => {
      const runs = executed.filter((id) => id === request.requestId).length;
      const problem = findProblem(request, runs, runs > 0 || read.has(request.requestId));
      return problem === undefined ? [] : `${request.kind} ${request.requestId} ${problem}`;
    });
    expect(problems).toEqual([]);
    expect(requests.length).toBeGreaterThan(CALLERS);
  } finally {
    await node.kill();
    await waitUntil('the end', () => node.hasEnded);
    await fixture.stop();
    rmSync(folder, { recursive: true });
  }
});
