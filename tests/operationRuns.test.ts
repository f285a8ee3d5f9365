/**
 * Tests calls that may not run twice while nodes are killed, frozen or cut off. Every test has its
 * own deployment of three nodes, of which the first issues the key, and runs concurrently with the
 * others.
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

/** Whether a node sees all nodes as serving, so that it finds enough witnesses. */
async function seesAllNodes(deployment: Deployment, node: DeployedNode): Promise<boolean> {
  const response = await node.callOperatorApi('/v1/status');
  const { nodes } = (await response.json()) as {
    readonly nodes: ReadonlyArray<{ readonly state: string }>;
  };
  return nodes.filter(({ state }) => state === 'serving').length === deployment.nodes.length;
}

/** Issues a key for one credit once node 1 sees all nodes. */
async function issueKey(deployment: Deployment): Promise<string> {
  await waitUntil('all nodes', async () => seesAllNodes(deployment, deployment.getNode(1)));
  const body = JSON.stringify({ kindOfWork: 'pickup-credit' });
  return waitUntil('a key', async () => {
    const response = await deployment
      .getNode(1)
      .call(API_KEY, '/v1/operations', { method: 'POST', body });
    if (response.status !== 201) return undefined;
    return ((await response.json()) as { readonly key: string }).key;
  });
}

async function credit(
  node: DeployedNode,
  key: string,
  apiKey = API_KEY,
  path = '/v1/services/credits/credits',
): Promise<Outcome> {
  const response = await node.call(apiKey, path, {
    method: 'POST',
    headers: { 'idempotency-key': key, 'content-type': 'application/json' },
    body: JSON.stringify({ id: ID }),
  });
  const text = await response.text();
  const { run } = JSON.parse(text) as { readonly run: unknown };
  return { status: response.status, run, text };
}

function countRuns(deployment: Deployment): number {
  return deployment.getService('credits').runs[ID] ?? 0;
}

/** Checks that the reported outcome agrees with the service's runs, and that nothing ran twice. */
function expectTrueOutcome(deployment: Deployment, { status, run }: Outcome): void {
  const runs = countRuns(deployment);
  expect(runs).toBeLessThanOrEqual(1);
  if (status === 200) expect(runs).toBe(1);
  if (run === 'not-run') expect(runs).toBe(0);
}

/** Sends the call to the owner and waits until the service has run it; the response is held. */
async function holdAfterRun(deployment: Deployment, key: string): Promise<void> {
  deployment.getService('credits').setFaults({ afterRun: 'hang', times: 1 });
  void credit(deployment.getNode(1), key).catch(() => undefined);
  await waitUntil('the run', () => countRuns(deployment) === 1);
}

// Guards against two credits for concurrent copies of one call.
test.concurrent('runs once when sent concurrently', async () =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    const outcomes = await Promise.all(
      [1, 2, 3, 1, 2, 3].map(async (number) => credit(deployment.getNode(number), key)),
    );
    outcomes.forEach((outcome) => expectTrueOutcome(deployment, outcome));
    expect(outcomes.map(({ status }) => status)).toEqual(outcomes.map(() => 200));
    expect(new Set(outcomes.map(({ text }) => text)).size).toBe(1);
  }),
);

// Guards against a rate limit that refuses the repeat of a call which has run: a repeat uses no
// permit.
test.concurrent('returns the first response to repeats over the limit', async () =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    const first = await credit(deployment.getNode(1), key);
    expect(first.status).toBe(200);
    for (const number of [2, 3, 1, 2, 3]) {
      const repeat = await credit(deployment.getNode(number), key);
      expectTrueOutcome(deployment, repeat);
      expect(repeat).toEqual(first);
    }
  }, 0.1),
);

// Guards against a refusal that reports `not-run` for a call which has run: the request is refused
// before any node checks whether an earlier copy ran.
test.concurrent('reports unknown when a repeat is refused unchecked', async () =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    expect((await credit(deployment.getNode(1), key)).status).toBe(200);
    const unauthorised = await credit(deployment.getNode(2), key, 'unknown-api-key');
    expect(unauthorised).toMatchObject({ status: 401, run: 'unknown' });
    const wrongPath = await credit(deployment.getNode(2), key, API_KEY, '/v1/services/other/x');
    expect(wrongPath).toMatchObject({ status: 404, run: 'unknown' });
  }),
);

// Guards against a repeat that runs the call again because its owner is unavailable.
test.concurrent.each([
  { fault: 'killed', apply: async (node: DeployedNode) => node.process.kill() },
  { fault: 'frozen', apply: async (node: DeployedNode) => node.process.freeze() },
])('runs once when the owner is $fault after the run', async ({ apply }) =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    await holdAfterRun(deployment, key);
    await apply(deployment.getNode(1));
    const outcome = await credit(deployment.getNode(2), key);
    expectTrueOutcome(deployment, outcome);
    expect(outcome).toMatchObject({ run: 'unknown' });
  }),
);

// Guards against a dispatch after a caller was told that the call has not run.
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
      expectTrueOutcome(deployment, await credit(owner, key));
    }
    expectTrueOutcome(deployment, await credit(deployment.getNode(3), key));
    expect(countRuns(deployment)).toBe(0);
  }),
);

// Guards against a frozen owner that loses the response which it receives once it is resumed.
test.concurrent('returns the response after the owner is resumed', async () =>
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
    expectTrueOutcome(deployment, again);
  }),
);

// Guards against a second run when nodes that hold a record of the first are unavailable.
test.concurrent.each([
  { fault: 'killed', apply: async (node: DeployedNode) => node.process.kill() },
  { fault: 'frozen', apply: async (node: DeployedNode) => node.process.freeze() },
])('reports the true outcome when a witness is $fault', async ({ apply }) =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    await apply(deployment.getNode(3));
    const first = await credit(deployment.getNode(1), key);
    expectTrueOutcome(deployment, first);
    const second = await credit(deployment.getNode(2), key);
    expectTrueOutcome(deployment, second);
    expect(second.run).toBe(first.run);
  }),
);

// Guards against a second owner on the other side of a network partition.
test.concurrent('runs once when the links between nodes are cut', async () =>
  useThreeNodes(async (deployment) => {
    const key = await issueKey(deployment);
    deployment.nodes.forEach(({ vmId }) => deployment.getLink(vmId).setState('cut'));
    const outcomes = await Promise.all(deployment.nodes.map(async (node) => credit(node, key)));
    deployment.nodes.forEach(({ vmId }) => deployment.getLink(vmId).setState('open'));
    outcomes.push(await credit(deployment.getNode(3), key));
    outcomes.forEach((outcome) => expectTrueOutcome(deployment, outcome));
  }),
);
