import { API_KEY, createContract } from './contracts';
import type { DeployedNode, NodeLocation } from './DeployedNode';
import { Deployment } from './Deployment';
import { waitUntil } from './waitUntil';

const PLACES: ReadonlyArray<NodeLocation> = [
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
    nodes: PLACES,
    services: { credits: {} },
    contracts: [createContract({ kindsOfWork: kinds })],
  });
});

afterEach(async () => deployment.stop());

/** Issues a key on node 1 once both others witness its keys. */
async function issue(): Promise<string> {
  const body = JSON.stringify({ kindOfWork: 'pickup-credit' });
  const node = deployment.getNode(1);
  return waitUntil('a key with two witnesses', async () => {
    const answer = await node.call(API_KEY, '/v1/operations', { method: 'POST', body });
    const { key } = (await answer.json()) as { readonly key?: string };
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

/** The body of the answer, or the kind of the problem. */
async function tell(answer: Promise<Response>): Promise<string> {
  const response = await answer;
  const text = await response.text();
  return response.ok ? text : (JSON.parse(text) as { readonly kind: string }).kind;
}

async function find(number: number, key: string): Promise<unknown> {
  return (await deployment.getNode(number).call(API_KEY, `/v1/operations/${key}`)).json();
}

/** Sends through node 1 and waits until the service has begun to run the call. */
async function sendHeld(key: string): Promise<void> {
  deployment.getService('credits').setFaults({ beforeRun: 'hang' });
  send(1, key).catch(() => {});
  await waitUntil('the call is held', () => deployment.getService('credits').held === 1);
}

function getRuns(): number {
  return deployment.getService('credits').runs['credit-1'] ?? 0;
}

/** Each row: the fault, what callers at node 2 are told twice, and how often the service ran. */
test.each<{
  readonly name: string;
  readonly act: (key: string, owner: DeployedNode) => Promise<void>;
  readonly told: RegExp;
  readonly runs: number;
}>([
  { name: 'no fault', act: async () => {}, told: /"run":1/, runs: 1 },
  {
    name: 'owner killed before the call',
    act: async (_, owner) => owner.process.kill(),
    told: /^operation-closed$/,
    runs: 0,
  },
  {
    name: 'owner killed between grant and answer',
    act: async (key, owner) => {
      await sendHeld(key);
      await owner.process.kill();
    },
    told: /^outcome-unknown$/,
    runs: 0,
  },
  {
    name: 'owner killed after the answer',
    act: async (key, owner) => {
      await tell(send(1, key));
      await waitUntil('reported', async () => {
        const reply = (await find(2, key)) as { readonly state: string };
        return reply.state === 'answered';
      });
      await owner.process.kill();
    },
    told: /"run":1/,
    runs: 1,
  },
  {
    name: 'owner stopped before the call',
    act: async (_, owner) => owner.process.freeze(),
    told: /^operation-closed$/,
    runs: 0,
  },
  {
    name: 'witness killed before the call',
    act: async () => deployment.getNode(3).process.kill(),
    told: /^operation-closed$/,
    runs: 0,
  },
])('callers repeat at another node: $name', async ({ act, told, runs }) => {
  const key = await issue();
  await act(key, deployment.getNode(1));
  const first = await tell(send(2, key));
  expect(first).toMatch(told);
  expect(await tell(send(2, key))).toBe(first);
  expect(getRuns()).toBe(runs);
});

// Guards against an owner that wakes up and runs what others were told is `not-run`.
test('owner that wakes up late runs nothing', async () => {
  const key = await issue();
  const owner = deployment.getNode(1);
  owner.process.freeze();
  expect(await tell(send(2, key))).toBe('operation-closed');
  owner.process.unfreeze();
  expect(await tell(send(1, key))).toBe('operation-closed');
  expect(await find(3, key)).toMatchObject({ state: 'closed', run: 'not-run' });
  expect(getRuns()).toBe(0);
});

// Guards against a call that ends with its caller, whose repeat then finds nothing.
test('caller that leaves does not end the call', async () => {
  const key = await issue();
  deployment.getService('credits').setFaults({ beforeRun: 'hang' });
  const caller = new AbortController();
  const left = send(1, key, caller.signal).catch(() => 'left');
  await waitUntil('the call is held', () => deployment.getService('credits').held === 1);
  caller.abort();
  expect(await left).toBe('left');
  deployment.getService('credits').release();
  expect(await tell(send(2, key))).toMatch(/"run":1/);
  expect(await find(2, key)).toMatchObject({ state: 'answered', run: 'run' });
  expect(getRuns()).toBe(1);
});

// Guards against a caller without a key that is left without a way on.
test('answer without a key brings one', async () => {
  const refused = await deployment.getNode(2).call(API_KEY, PATH, { method: 'POST', body: '{}' });
  expect(refused.status).toBe(428);
  const key = refused.headers.get('idempotency-key') ?? '';
  expect(await tell(send(1, key))).toMatch(/"run":1/);
});
