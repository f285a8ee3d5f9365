import { Client } from 'undici';
import { hashApiKey } from '../src/core';
import { API_KEY, createContract } from './contracts';
import { Deployment } from './Deployment';
import { waitUntil } from './waitUntil';

let deployment: Deployment;

beforeAll(async () => {
  deployment = await Deployment.start({
    services: { status: {}, credits: {} },
    contracts: [createContract()],
  });
});

afterAll(async () => deployment.stop());

async function lookUp(number: number, id: string, apiKey = API_KEY): Promise<Response> {
  const path = `/v1/services/status/lookup?id=${id}`;
  return deployment.getNode(number).call(apiKey, path);
}

// Guards against a node that answers only for itself or mixes up answers.
test.each([1, 2])('looks up through node %i', async (number) => {
  const ids = Array.from({ length: 20 }, (_, index) => `look-${number}-${index}`);
  const answers = await Promise.all(ids.map(async (id) => (await lookUp(number, id)).json()));
  expect(answers).toMatchObject(ids.map((id) => ({ id, path: '/lookup', run: 1 })));
});

// Guards against a stranger who learns anything about the fleet.
test('refuses an unknown key', async () => {
  const answer = await lookUp(1, 'stranger', 'wrong-key');
  expect(answer.status).toBe(401);
  expect(await answer.json()).toMatchObject({ kind: 'unknown-key', run: 'not-run' });
  expect(deployment.getService('status').runs).not.toHaveProperty('stranger');
});

test('refuses a service outside the contract', async () => {
  const answer = await deployment.getNode(1).call(API_KEY, '/v1/services/nowhere/x');
  expect(answer.status).toBe(404);
  expect(await answer.json()).toMatchObject({ kind: 'unknown-kind-of-work', run: 'not-run' });
});

// Guards against a body that fills a node's memory.
test('refuses a body over the limit', async () => {
  const body = JSON.stringify({ id: 'large', text: 'x'.repeat(1_100_000) });
  const answer = await deployment
    .getNode(1)
    .call(API_KEY, '/v1/services/status/x', { method: 'POST', body });
  expect(answer.status).toBe(413);
  expect(await answer.json()).toMatchObject({ kind: 'request-too-large', run: 'not-run' });
  expect(deployment.getService('status').runs).not.toHaveProperty('large');
});

// Guards against a refusal that takes down the next request on the connection.
test.each([
  { refusal: 'too large', bytes: 1_100_000, apiKey: API_KEY, status: 413 },
  { refusal: 'unknown key', bytes: 1_000_000, apiKey: 'wrong-key', status: 401 },
])('serves a caller after the refusal $refusal', async ({ bytes, apiKey, status }) => {
  const client = new Client(deployment.getNode(1).addresses.callerUrl);
  const path = '/v1/services/status/next';
  const refused = await client.request({
    method: 'POST',
    path,
    headers: { authorization: `Bearer ${apiKey}` },
    body: 'x'.repeat(bytes),
  });
  expect(refused.statusCode).toBe(status);
  await refused.body.dump();
  const headers = { authorization: `Bearer ${API_KEY}` };
  const next = await client.request({ method: 'GET', path, headers });
  expect(next.statusCode).toBe(200);
  await next.body.dump();
  await client.close();
});

// Guards against a contract change that reaches only some nodes.
test('puts a contract in force everywhere', async () => {
  const apiKey = 'key-of-recup-labels';
  expect((await lookUp(1, 'early', apiKey)).status).toBe(401);
  deployment.publish(createContract({ customer: 'recup-labels', keyHashes: [hashApiKey(apiKey)] }));
  for (const number of [1, 2]) {
    await waitUntil(
      `in force on node ${number}`,
      async () => (await lookUp(number, 'late', apiKey)).ok,
    );
  }
});

// Guards against a bad contract that shuts its customer out.
test('keeps the last good contract', async () => {
  const contractRevision = deployment.publishText('recup-audits', '{"customer":"recup-audits"}');
  for (const node of deployment.nodes) {
    await waitUntil(`refused by ${node.vmId}`, () =>
      node.hasLogged('contract refused', { customer: 'recup-audits', contractRevision }),
    );
  }
  expect((await lookUp(1, 'still')).status).toBe(200);
  expect((await lookUp(2, 'still')).status).toBe(200);
  deployment.publish(createContract());
});
