import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { parseFrontSettings, type FrontSettings } from '../src/core';
import { callFront, createStoreConfiguration, FrontFixture } from './FrontFixture';
import { ManagedProcess } from './ManagedProcess';
import { waitUntil } from './waitUntil';

const REVOCATION_WITHIN_MS = 3_000;

/** Far above what a lookup at a stand-in takes, far below a reader that never comes back. */
const PROMPT_MS = 1_000;

let fixture: FrontFixture;
let folder: string;
let file: string;
let settings: FrontSettings;
let node: ManagedProcess;

function startNode(): ManagedProcess {
  return new ManagedProcess(['dist/bramleyvane.cjs', 'front', '--settings-file', file]);
}

async function lookUp(key = 'key-1'): Promise<number> {
  const headers = { authorization: `Token ${key}` };
  const { status } = await callFront({ settings }, '/lookup/a', { headers });
  return status;
}

/** Undefined while the node can't be reached. */
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

// Guards against requests that wait for a collector of logs which reads nothing any more.
test('a log reader that stops holds up no request', async () => {
  node.stopReading();
  const startedMs = performance.now();
  let refused = 0;
  // More lines than the pipe and the process keep: both bounds of the log are used up.
  while (performance.now() - startedMs < 8_000) {
    const statuses = await Promise.all(Array.from({ length: 20 }, async () => lookUp('no-key')));
    refused += statuses.filter((status) => status === 401).length;
  }
  expect(refused).toBeGreaterThan(2_000);
  const askedAtMs = performance.now();
  expect(await lookUp()).toBe(200);
  expect(performance.now() - askedAtMs).toBeLessThan(PROMPT_MS);
  node.resumeReading();
  await waitUntil('room in the pipe', async () => {
    await lookUp();
    return node.lines.some(({ event }) => event === 'lines left out');
  });
  const left = node.lines
    .filter(({ event }) => event === 'lines left out')
    .flatMap(({ counts }) => Object.entries(counts as Readonly<Record<string, number>>));
  // Which kind of line meets the bound first depends on how fast the requests come.
  left.forEach(([event]) => expect(['decision', 'request']).toContain(event));
  expect(left.reduce((sum, [, count]) => sum + count, 0)).toBeGreaterThan(0);
});

// Guards against a paused process that wakes and serves a key which was taken away meanwhile.
test('a node that was paused serves no key that is gone', async () => {
  node.freeze();
  const tenants = [{ name: 'cafe-1', apiKeys: ['key-2'] }];
  fixture.store.put('op/config', createStoreConfiguration({ version: 6, tenants }));
  const answers = Array.from({ length: 8 }, async () => lookUp());
  await new Promise((resolve) => {
    setTimeout(resolve, REVOCATION_WITHIN_MS + 500);
  });
  node.unfreeze();
  (await Promise.all(answers)).forEach((status) => expect([401, 503]).toContain(status));
  await waitUntil('the new key', async () => (await lookUp('key-2')) === 200);
});

// Guards against a node that doesn't come back by itself after its process was killed.
test('a killed node serves again after its start', async () => {
  await node.kill();
  node = startNode();
  const startedMs = performance.now();
  await waitUntil('service', async () => (await tryLookUp()) === 200);
  expect(performance.now() - startedMs).toBeLessThan(5_000);
});

// Guards against a signal to stop that doesn't end the process in its time.
test('SIGTERM ends the process with its lines', async () => {
  node.terminate();
  expect(await node.waitForExit()).toBe(0);
  expect(node.lines.map(({ event }) => event)).toEqual(
    expect.arrayContaining(['started', 'forwarding drained', 'stopped']),
  );
});
