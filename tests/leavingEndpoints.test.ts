/**
 * Tests endpoints that are leaving according to their own report or the VM list.
 */
import type { VmId } from '../src/core';
import { CallerStream } from './CallerStream';
import { createContract } from './contracts';
import { Deployment, type DeploymentOptions } from './Deployment';
import { waitUntil } from './waitUntil';

const OPTIONS: DeploymentOptions = {
  engines: [
    { stepBaseMs: 1, reportLagMs: 100 },
    { stepBaseMs: 1, reportLagMs: 100 },
  ],
  contracts: [createContract()],
};

/** Number of generations that a round sends to each node. */
const GENERATIONS_PER_NODE = 10;

async function sendRound(deployment: Deployment): Promise<void> {
  await Promise.all(
    deployment.nodes.flatMap((node) =>
      Array.from({ length: GENERATIONS_PER_NODE }, async () => new CallerStream().start(node, 1)),
    ),
  );
}

/** Sends one round and returns the number of generations that engine 1 received. */
async function countInRound(deployment: Deployment): Promise<number> {
  const before = deployment.getEngine(1).generations.length;
  await sendRound(deployment);
  return deployment.getEngine(1).generations.length - before;
}

// Guards against new work for an engine that is about to leave.
test.concurrent.each([
  {
    source: 'its report',
    leave: (deployment: Deployment) => deployment.getEngine(1).setLeaving(true),
  },
  {
    source: 'the VM list',
    leave: (deployment: Deployment) => {
      deployment.vmList.markLeaving('engine-1' as VmId);
    },
  },
])('gets no new work when $source marks it as leaving', async ({ leave }) =>
  Deployment.use(OPTIONS, async (deployment) => {
    await waitUntil('work on engine 1', async () => (await countInRound(deployment)) > 0);
    leave(deployment);
    await waitUntil(
      'a round without work on engine 1',
      async () => (await countInRound(deployment)) === 0,
    );
    expect(await countInRound(deployment)).toBe(0);
    expect(deployment.getEngine(2).generations.length).toBeGreaterThan(0);
  }),
);
