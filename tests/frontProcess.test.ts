import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { parseFrontSettings, type FrontSettings } from '../src/core';
import { callFront, createStoreConfiguration, FrontFixture } from './FrontFixture';
import { ManagedProcess } from './ManagedProcess';
import { waitUntil } from './waitUntil';

const REVOCATION_WITHIN_MS = 3_000;

/**
 * Far above the duration of a lookup at a stand-in, far below the wait for a reader that never
 * resumes.
 */
const MAX_LOOKUP_MS = 1_000;

let fixture: FrontFixture;
let folder: string;
let file: string;
let settings: FrontSettings;
let node: ManagedProcess;

function startNode(nodeFlags: ReadonlyArray<string> = []): ManagedProcess {
  return new ManagedProcess([
    ...nodeFlags,
    'dist/bramleyvane.cjs',
    'front',
    '--settings-file',
    file,
  ]);
}

async function lookUp(key = 'key-1'): Promise<number> {
  const headers = { authorization: `Token ${key}` };
  const { status } = await callFront({ settings }, '/lookup/a', { headers });
  return status;
}

/** Returns undefined while the node is unreachable. */
async function tryLookUp(): Promise<number | undefined> {
  return lookUp().catch(() => undefined);
}

beforeEach(async () => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  await fixture.addEngine('desk', { instanceId: 'i-1' });
  folder = mkdtempSync(path.join(tmpdir(), 'bramleyvane-'));
  file = path.join(folder, 'settings.json');
  const text = await fixture.createSettingsJson({ revocationWithinMs: REVOCATION_WITHIN_MS });
  settings = parseFrontSettings(text);
  writeFileSync(file, text);
  node = startNode();
  await waitUntil('service', async () => (await tryLookUp()) === 200);
});

afterEach(async () => {
  await node.kill();
  await fixture.stop();
  rmSync(folder, { recursive: true });
});

// Guards against requests that wait for a log collector which has stopped reading.
test('a stalled log reader delays no request', async () => {
  node.stopReading();
  const startedMs = performance.now();
  let refused = 0;
  // Writes more lines than the pipe and the process can buffer, so that both limits of the log are
  // reached.
  while (performance.now() - startedMs < 8_000) {
    const statuses = await Promise.all(Array.from({ length: 20 }, async () => lookUp('no-key')));
    refused += statuses.filter((status) => status === 401).length;
  }
  expect(refused).toBeGreaterThan(2_000);
  const sentAtMs = performance.now();
  expect(await lookUp()).toBe(200);
  expect(performance.now() - sentAtMs).toBeLessThan(MAX_LOOKUP_MS);
  node.resumeReading();
  await waitUntil('the log of omitted lines', async () => {
    await lookUp();
    return node.lines.some(({ event }) => event === 'lines left out');
  });
  const omitted = node.lines
    .filter(({ event }) => event === 'lines left out')
    .flatMap(({ counts }) => Object.entries(counts as Readonly<Record<string, number>>));
  // Which kind of line reaches the limit first depends on the request rate.
  omitted.forEach(([event]) => expect(['decision', 'request']).toContain(event));
  expect(omitted.reduce((sum, [, count]) => sum + count, 0)).toBeGreaterThan(0);
});

// Guards against a suspended process that, once resumed, accepts a key which was revoked meanwhile.
test('a resumed node refuses a key that was revoked meanwhile', async () => {
  node.freeze();
  const tenants = [{ name: 'cafe-1', apiKeys: ['key-2'] }];
  fixture.store.put('op/config', createStoreConfiguration({ version: 6, tenants }));
  const statuses = Array.from({ length: 8 }, async () => lookUp());
  await new Promise((resolve) => {
    setTimeout(resolve, REVOCATION_WITHIN_MS + 500);
  });
  node.unfreeze();
  (await Promise.all(statuses)).forEach((status) => expect([401, 503]).toContain(status));
  await waitUntil('the new key', async () => (await lookUp('key-2')) === 200);
});

// Guards against a node that does not recover by itself once its killed process is started again.
test('a killed node serves again after a restart', async () => {
  await node.kill();
  node = startNode();
  const startedMs = performance.now();
  await waitUntil('service', async () => (await tryLookUp()) === 200);
  expect(performance.now() - startedMs).toBeLessThan(5_000);
});

// Guards against a SIGTERM that does not end the process in time.
test('SIGTERM ends the process after its last log lines', async () => {
  node.terminate();
  expect(await node.waitForExit()).toBe(0);
  expect(node.lines.map(({ event }) => event)).toEqual(
    expect.arrayContaining(['started', 'forwarding drained', 'stopped']),
  );
});

// Guards against one unexpected error that ends the process and with it the requests of all callers.
test.each([
  ['a rejected promise', 'Promise.reject(new Error("unexpected"))'],
  ['an error in a callback', 'throw new Error("unexpected")'],
])('%s that nothing catches does not end the process', async (_name, code) => {
  await node.kill();
  const [script, trigger] = ['fail.cjs', 'trigger'].map((name) => path.join(folder, name));
  writeFileSync(
    script!,
    `const timer = setInterval(() => {
      if (!require('node:fs').existsSync(${JSON.stringify(trigger)})) return;
      clearInterval(timer);
      ${code};
    }, 20);`,
  );
  node = startNode(['--require', script!]);
  await waitUntil('service', async () => (await tryLookUp()) === 200);
  writeFileSync(trigger!, '');
  await waitUntil('the error', () => node.lines.some(({ event }) => event === 'uncaught error'));
  expect(await lookUp()).toBe(200);
});
