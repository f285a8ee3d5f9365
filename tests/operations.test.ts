import { API_KEY, createContract } from './contracts';
import type { DeployedNode, NodeLocation } from './DeployedNode';
import { Deployment } from './Deployment';
import { waitUntil } from './waitUntil';

const LOCATIONS: ReadonlyArray<NodeLocation> = [
  { dataCentre: 'brisbane', region: 'seq' },
  { dataCentre: 'gold-coast', region: 'seq' },
  { dataCentre: 'cairns', region: 'fnq' },
];

const PATH = '/v1/services/credits/credit';

let deployment: Deployment;

beforeEach(async () => {
  const kinds = createContract().kindsOfWork.map((kind) =>
    kind.type === 'call' ? { ...kind, answerWithinMs: 3_000 } : kind,
  );
  deployment = await Deployment.start({
    nodes: LOCATIONS,
    services: { credits: {} },
    contracts: [createContract({ kindsOfWork: kinds })],
  });
});

afterEach(async () => deployment.stop());

/** Issues a key on node 1 once both other nodes are witnesses for its keys. */
async function issueKey(): Promise<string> {
  const body = JSON.stringify({ kindOfWork: 'pickup-credit' });
  const node = deployment.getNode(1);
  return waitUntil('a key with two witnesses', async () => {
    const response = await node.call(API_KEY, '/v1/operations', { method: 'POST', body });
    const { key } = (await response.json()) as { readonly key?: string };
    const issued = node.process.lines.filter(({ event }) => event === 'operation key issued');
    const witnesses = issued.at(-1)?.witnesses as ReadonlyArray<string> | undefined;
    return witnesses?.length === 2 ? key : undefined;
  });
}

async function send(number: number, key: string, signal?: AbortSignal): Promise<Response> {
  const body = JSON.stringify({ id: 'credit-1' });
  const headers = { 'idempotency-key': key };
  const node = deployment.getNode(number);
  return node.call(API_KEY, PATH, { method: 'POST', body, headers, signal });
}

/** Returns the body of the response, or the kind of the error. */
async function getResult(sent: Promise<Response>): Promise<string> {
  const response = await sent;
  const text = await response.text();
  return response.ok ? text : (JSON.parse(text) as { readonly kind: string }).kind;
}

async function getOperation(number: number, key: string): Promise<unknown> {
  return (await deployment.getNode(number).call(API_KEY, `/v1/operations/${key}`)).json();
}

/** Sends the call through node 1 and waits until the service holds it before the run. */
async function sendHeld(key: string): Promise<void> {
  deployment.getService('credits').setFaults({ beforeRun: 'hang' });
  send(1, key).catch(() => {});
  await waitUntil('the held call', () => deployment.getService('credits').held === 1);
}

function countRuns(): number {
  return deployment.getService('credits').runs['credit-1'] ?? 0;
}

/**
 * Each row: the fault, the result that node 2 returns twice, and how often the service ran the
 * call.
 */
test.each<{
  readonly name: string;
  readonly act: (key: string, owner: DeployedNode) => Promise<void>;
  readonly expected: RegExp;
  readonly runs: number;
}>([
  { name: 'no fault', act: async () => {}, expected: /"run":1/, runs: 1 },
  {
    name: 'owner killed before the call',
    act: async (_, owner) => owner.process.kill(),
    expected: /^operation-closed$/,
    runs: 0,
  },
  {
    name: 'owner killed between grant and answer',
    act: async (key, owner) => {
      await sendHeld(key);
      await owner.process.kill();
    },
    expected: /^outcome-unknown$/,
    runs: 0,
  },
  {
    name: 'owner killed after the answer',
    act: async (key, owner) => {
      await getResult(send(1, key));
      await waitUntil('the result at node 2', async () => {
        const operation = (await getOperation(2, key)) as { readonly state: string };
        return operation.state === 'answered';
      });
      await owner.process.kill();
    },
    expected: /"run":1/,
    runs: 1,
  },
  {
    name: 'owner stopped before the call',
    act: async (_, owner) => owner.process.freeze(),
    expected: /^operation-closed$/,
    runs: 0,
  },
  {
    name: 'witness killed before the call',
    act: async () => deployment.getNode(3).process.kill(),
    expected: /^operation-closed$/,
    runs: 0,
  },
])('repeat at another node: $name', async ({ act, expected, runs }) => {
  const key = await issueKey();
  await act(key, deployment.getNode(1));
  const first = await getResult(send(2, key));
  expect(first).toMatch(expected);
  expect(await getResult(send(2, key))).toBe(first);
  expect(countRuns()).toBe(runs);
});

// Guards against an owner that is resumed and runs a call which callers were told is `not-run`.
test('an owner resumed late runs nothing', async () => {
  const key = await issueKey();
  const owner = deployment.getNode(1);
  owner.process.freeze();
  expect(await getResult(send(2, key))).toBe('operation-closed');
  owner.process.unfreeze();
  expect(await getResult(send(1, key))).toBe('operation-closed');
  expect(await getOperation(3, key)).toMatchObject({ state: 'closed', run: 'not-run' });
  expect(countRuns()).toBe(0);
});

// Guards against a call that is aborted when its caller disconnects, so that a repeat has no
// result.
test('a call outlives its caller', async () => {
  const key = await issueKey();
  deployment.getService('credits').setFaults({ beforeRun: 'hang' });
  const caller = new AbortController();
  const disconnected = send(1, key, caller.signal).catch(() => 'left');
  await waitUntil('the held call', () => deployment.getService('credits').held === 1);
  caller.abort();
  expect(await disconnected).toBe('left');
  deployment.getService('credits').release();
  expect(await getResult(send(2, key))).toMatch(/"run":1/);
  expect(await getOperation(2, key)).toMatchObject({ state: 'answered', run: 'run' });
  expect(countRuns()).toBe(1);
});

// Guards against a refusal that does not provide a caller without a key with one to use.
test('the refusal of a call without a key provides one', async () => {
  const refused = await deployment.getNode(2).call(API_KEY, PATH, { method: 'POST', body: '{}' });
  expect(refused.status).toBe(428);
  const key = refused.headers.get('idempotency-key') ?? '';
  expect(await getResult(send(1, key))).toMatch(/"run":1/);
});
