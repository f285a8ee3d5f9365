/**
 * Calls that may not be repeated, while nodes are killed, frozen or cut off. Every test has its own
 * deployment of three nodes, whose first issues the key, and runs beside the others.
 */
import { API_KEY, createContract } from './contracts';
import type { DeployedNode } from './DeployedNode';
import { Deployment } from './Deployment';
import { waitUntil } from './waitUntil';

const ID = 'credit-1';

interface Outcome {
  readonly status: number;
  readonly run: unknown;
  readonly text: string;
}

async function useThreeNodes(
  body: (deployment: Deployment) => Promise<void>,
  requestsPerSecond = 1_000,
): Promise<void> {
  const contract = createContract();
  const kindsOfWork = contract.kindsOfWork.map((kind) =>
    kind.name === 'pickup-credit' ? { ...kind, answerWithinMs: 3_000 } : kind,
  );
  const nodes = [
    { dataCentre: 'brisbane', region: 'seq' },
    { dataCentre: 'gold-coast', region: 'seq' },
    { dataCentre: 'cairns', region: 'fnq' },
  ];
  const contracts = [
    createContract({ kindsOfWork, limits: { concurrentGenerations: 1, requestsPerSecond } }),
  ];
  await Deployment.use({ nodes, services: { credits: {} }, contracts }, body);
}

/** Whether a node has heard that all nodes serve, and so finds witnesses. */
async function knowsAllNodes(deployment: Deployment, node: DeployedNode): Promise<boolean> {
  const answer = await node.callOperatorApi('/v1/status');
  const { nodes } = (await answer.json()) as {
    readonly nodes: ReadonlyArray<{ readonly state: string }>;
  };
  return nodes.filter(({ state }) => state === 'serving').length === deployment.nodes.length;
}

/** A key for one credit, issued when the nodes know each other. */
async function issueKey(deployment: Deployment): Promise<string> {
  await waitUntil('all nodes', async () => knowsAllNodes(deployment, deployment.getNode(1)));
  const body = JSON.stringify({ kindOfWork: 'pickup-credit' });
  return waitUntil('a key', async () => {
    const answer = await deployment
      .getNode(1)
      .call(API_KEY, '/v1/operations', { method: 'POST', body });
    if (answer.status !== 201) return undefined;
    return ((await answer.json()) as { readonly key: string }).key;
  });
}

async function credit(
  node: DeployedNode,
  key: string,
  apiKey = API_KEY,
  path = '/v1/services/credits/credits',
): Promise<Outcome> {
  const answer = await node.call(apiKey, path, {
    method: 'POST',
    headers: { 'idempotency-key': key, 'content-type': 'application/json' },
    body: JSON.stringify({ id: ID }),
  });
  const text = await answer.text();
  const { run } = JSON.parse(text) as { readonly run: unknown };
  return { status: answer.status, run, text };
}

function countRuns(deployment: Deployment): number {
  return deployment.getService('credits').runs[ID] ?? 0;
}

/** What a caller is told is true of what the service did, and nothing ran twice. */
function expectTruth(deployment: Deployment, { status, run }: Outcome): void {
  const runs = countRuns(deployment);
  expect(runs).toBeLessThanOrEqual(1);
  if (status === 200) expect(runs).toBe(1);
  if (run === 'not-run') expect(runs).toBe(0);
}

/** Sends the call to the owner and waits until the service has run it but not answered. */
async function holdAfterRun(deployment: Deployment, key: string): Promise<void> {
  deployment.getService('credits').setFaults({ afterRun: 'hang', times: 1 });
  void credit(deployment.getNode(1), key).catch(() => undefined);
  await waitUntil('the run', () => countRuns(deployment) === 1);
}

// Guards against two credits for two copies of one call.
test.concurrent('runs once when sent twice at once', async () =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    const outcomes = await Promise.all(
      [1, 2, 3, 1, 2, 3].map(async (number) => credit(deployment.getNode(number), key)),
    );
    outcomes.forEach((outcome) => expectTruth(deployment, outcome));
    expect(outcomes.map(({ status }) => status)).toEqual(outcomes.map(() => 200));
    expect(new Set(outcomes.map(({ text }) => text)).size).toBe(1);
  }),
);

// Guards against a limit that refuses a repeat of a call which was run: a repeat costs no permit.
test.concurrent('gives the first answer to repeats over the limit', async () =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    const first = await credit(deployment.getNode(1), key);
    expect(first.status).toBe(200);
    for (const number of [2, 3, 1, 2, 3]) {
      const repeat = await credit(deployment.getNode(number), key);
      expectTruth(deployment, repeat);
      expect(repeat).toEqual(first);
    }
  }, 0.1),
);

// Guards against a refusal that says of a call which was run that it was not: the key is refused
// before anybody has looked whether an earlier copy ran.
test.concurrent('says unknown when a repeat is refused unread', async () =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    expect((await credit(deployment.getNode(1), key)).status).toBe(200);
    const stranger = await credit(deployment.getNode(2), key, 'unknown-api-key');
    expect(stranger).toMatchObject({ status: 401, run: 'unknown' });
    const elsewhere = await credit(deployment.getNode(2), key, API_KEY, '/v1/services/other/x');
    expect(elsewhere).toMatchObject({ status: 404, run: 'unknown' });
  }),
);

// Guards against a repeat that runs the call again because its owner is gone.
test.concurrent.each([
  { fault: 'killed', apply: async (node: DeployedNode) => node.process.kill() },
  { fault: 'frozen', apply: async (node: DeployedNode) => node.process.freeze() },
])('runs once when the owner is $fault after the run', async ({ apply }) =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    await holdAfterRun(deployment, key);
    await apply(deployment.getNode(1));
    const outcome = await credit(deployment.getNode(2), key);
    expectTruth(deployment, outcome);
    expect(outcome).toMatchObject({ run: 'unknown' });
  }),
);

// Guards against a dispatch after a caller was told that the call was not run.
test.concurrent.each([
  { fault: 'killed', apply: async (node: DeployedNode) => node.process.kill() },
  { fault: 'frozen', apply: async (node: DeployedNode) => node.process.freeze() },
])('does not run when the owner is $fault before the call', async ({ apply, fault }) =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    const owner = deployment.getNode(1);
    await apply(owner);
    const outcome = await credit(deployment.getNode(2), key);
    expect(outcome).toMatchObject({ run: 'not-run' });
    if (fault === 'frozen') {
      owner.process.unfreeze();
      expectTruth(deployment, await credit(owner, key));
    }
    expectTruth(deployment, await credit(deployment.getNode(3), key));
    expect(countRuns(deployment)).toBe(0);
  }),
);

// Guards against a frozen owner that loses the answer which it gets when it wakes up.
test.concurrent('tells the answer after the owner wakes up', async () =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    const service = deployment.getService('credits');
    service.setFaults({ beforeRun: 'hang', times: 1 });
    const first = credit(deployment.getNode(1), key);
    await waitUntil('the call', () => service.held === 1);
    deployment.getNode(1).process.freeze();
    service.release();
    await waitUntil('the run', () => countRuns(deployment) === 1);
    deployment.getNode(1).process.unfreeze();
    expect(await first).toMatchObject({ status: 200 });
    const again = await credit(deployment.getNode(3), key);
    expect(again.text).toBe((await first).text);
    expectTruth(deployment, again);
  }),
);

// Guards against a second run when the nodes that remember the first are gone.
test.concurrent.each([
  { fault: 'killed', apply: async (node: DeployedNode) => node.process.kill() },
  { fault: 'frozen', apply: async (node: DeployedNode) => node.process.freeze() },
])('tells the truth when a witness is $fault', async ({ apply }) =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    await apply(deployment.getNode(3));
    const first = await credit(deployment.getNode(1), key);
    expectTruth(deployment, first);
    const second = await credit(deployment.getNode(2), key);
    expectTruth(deployment, second);
    expect(second.run).toBe(first.run);
  }),
);

// Guards against a second owner on the other side of a partition.
test.concurrent('runs once when the links between nodes are cut', async () =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    deployment.nodes.forEach(({ vmId }) => deployment.getLink(vmId).setState('cut'));
    const outcomes = await Promise.all(deployment.nodes.map(async (node) => credit(node, key)));
    deployment.nodes.forEach(({ vmId }) => deployment.getLink(vmId).setState('open'));
    outcomes.push(await credit(deployment.getNode(3), key));
    outcomes.forEach((outcome) => expectTruth(deployment, outcome));
  }),
);
