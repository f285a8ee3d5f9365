/**
 * Connections of callers that stay open between requests.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { FORWARDING_OPTIONS } from '../src/plugins/forwarding/options';
import { Deployment } from '../src/services';
import { CallerConnection } from './CallerConnection';
import { createStoreConfiguration, FrontFixture, type FrontNode } from './FrontFixture';
import { waitUntil } from './waitUntil';

let fixture: FrontFixture;
let callers: ReadonlyArray<CallerConnection> = [];

beforeEach(async () => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  callers = [];
});

afterEach(async () => {
  callers.forEach((caller) => caller.close());
  await fixture.stop();
});

async function openCaller(node: FrontNode): Promise<CallerConnection> {
  const caller = await CallerConnection.open(node.settings.node.callerAddress);
  callers = [...callers, caller];
  return caller;
}

async function applyConfiguration(
  { kernel }: FrontNode,
  configuration: Readonly<Record<string, unknown>>,
): Promise<void> {
  fixture.store.put('op/config', configuration);
  await waitUntil(
    'the new configuration',
    () => kernel.get(Deployment).configuration?.version === configuration.version,
  );
}

const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000 };

const withIdleTimeout = (version: number, idleTimeoutMs: number): Record<string, unknown> => ({
  ...createStoreConfiguration({ version, limits: { ...LIMITS, idleTimeoutMs } }),
});

// Guards against an idle connection that is closed by the idle timeout of an older configuration
// although the one in force allows its caller to use it.
test('a longer idle timeout holds for connections that are idle already', async () => {
  const node = await fixture.addReadyNode(0);
  await applyConfiguration(node, withIdleTimeout(6, 400));
  const caller = await openCaller(node);
  caller.send('/nowhere/a');
  expect(await caller.readStatus()).toBe(404);
  await applyConfiguration(node, withIdleTimeout(7, 2_000));
  await sleep(1_900);
  caller.send('/nowhere/b');
  expect(await caller.readStatus()).toBe(404);
  await waitUntil('the close of the idle connection', () => caller.isClosed);
});

// Guards against a connection that is closed as idle, after a pause of the process, although the
// next request has arrived.
test('a request that arrived during a pause of the process is answered', async () => {
  const node = await fixture.addReadyNode(0);
  await applyConfiguration(node, withIdleTimeout(6, 400));
  const caller = await openCaller(node);
  caller.send('/nowhere/a');
  expect(await caller.readStatus()).toBe(404);
  await sleep(1_000);
  // Timers run before sockets are read only in a pause that doesn't begin in a timer.
  await new Promise(setImmediate);
  caller.send('/nowhere/b');
  const untilMs = performance.now() + 1_000;
  while (performance.now() < untilMs);
  expect(await caller.readStatus()).toBe(404);
});

// Guards against a request that is destroyed unread because a stop closes its connection as idle.
test('a request that arrived before the close of idle connections is answered', async () => {
  const node = await fixture.addReadyNode(0, { shutdownGraceMs: 6_000 });
  const caller = await openCaller(node);
  caller.send('/nowhere/a');
  expect(await caller.readStatus()).toBe(404);
  const drained = node.kernel.drain();
  await sleep(FORWARDING_OPTIONS.maxDrainAcceptMs - 200);
  await new Promise(setImmediate);
  caller.send('/nowhere/b');
  const untilMs = performance.now() + 500;
  while (performance.now() < untilMs);
  expect(await caller.readStatus()).not.toBe(0);
  await drained;
});
