/**
 * Endpoints that leave: by their own report, or by the list of VMs.
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

/** Generations that a test sends in one round to each node. */
const ROUND = 10;

async function sendRound(deployment: Deployment): Promise<void> {
  await Promise.all(
    deployment.nodes.flatMap((node) =>
      Array.from({ length: ROUND }, async () => new CallerStream().start(node, 1)),
    ),
  );
}

/** Generations that engine 1 got in one round. */
async function countInRound(deployment: Deployment): Promise<number> {
  const before = deployment.getEngine(1).generations.length;
  await sendRound(deployment);
  return deployment.getEngine(1).generations.length - before;
}

// Guards against work for an engine that is about to go.
test.concurrent.each([
  {
    source: 'its report',
    leave: (deployment: Deployment) => deployment.getEngine(1).setLeaving(true),
  },
  {
    source: 'the list of VMs',
    leave: (deployment: Deployment) => {
      deployment.vmList.markLeaving('engine-1' as VmId);
    },
  },
])('gets no new work when $source says that it leaves', async ({ leave }) =>
  Deployment.use(OPTIONS, async (deployment) => {
    await waitUntil('work on engine 1', async () => (await countInRound(deployment)) > 0);
    leave(deployment);
    await waitUntil('a round without it', async () => (await countInRound(deployment)) === 0);
    expect(await countInRound(deployment)).toBe(0);
    expect(deployment.getEngine(2).generations.length).toBeGreaterThan(0);
  }),
);
