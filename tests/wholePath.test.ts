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

// Guards against a service that only one node can reach, and against responses that are swapped
// between requests.
test.each([1, 2])('looks up through node %i', async (number) => {
  const ids = Array.from({ length: 20 }, (_, index) => `look-${number}-${index}`);
  const results = await Promise.all(ids.map(async (id) => (await lookUp(number, id)).json()));
  expect(results).toMatchObject(ids.map((id) => ({ id, path: '/lookup', run: 1 })));
});

// Guards against service to, or information for, a caller without a valid key.
test('refuses an unknown key', async () => {
  const response = await lookUp(1, 'stranger', 'wrong-key');
  expect(response.status).toBe(401);
  expect(await response.json()).toMatchObject({ kind: 'unknown-key', run: 'not-run' });
  expect(deployment.getService('status').runs).not.toHaveProperty('stranger');
});

test('refuses a service outside the contract', async () => {
  const response = await deployment.getNode(1).call(API_KEY, '/v1/services/nowhere/x');
  expect(response.status).toBe(404);
  expect(await response.json()).toMatchObject({ kind: 'unknown-kind-of-work', run: 'not-run' });
});

// Guards against a request body that exhausts a node's memory.
test('refuses a body over the limit', async () => {
  const body = JSON.stringify({ id: 'large', text: 'x'.repeat(1_100_000) });
  const response = await deployment
    .getNode(1)
    .call(API_KEY, '/v1/services/status/x', { method: 'POST', body });
  expect(response.status).toBe(413);
  expect(await response.json()).toMatchObject({ kind: 'request-too-large', run: 'not-run' });
  expect(deployment.getService('status').runs).not.toHaveProperty('large');
});

// Guards against a refusal that breaks the next request on the same connection.
test.each([
  { refusal: 'too large', bytes: 1_100_000, apiKey: API_KEY, status: 413 },
  { refusal: 'unknown key', bytes: 1_000_000, apiKey: 'wrong-key', status: 401 },
])('serves the next request after a refusal: $refusal', async ({ bytes, apiKey, status }) => {
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
test('puts a contract in force on every node', async () => {
  const apiKey = 'key-of-recup-labels';
  expect((await lookUp(1, 'early', apiKey)).status).toBe(401);
  deployment.publish(createContract({ customer: 'recup-labels', keyHashes: [hashApiKey(apiKey)] }));
  for (const number of [1, 2]) {
    await waitUntil(
      `the contract on node ${number}`,
      async () => (await lookUp(number, 'late', apiKey)).ok,
    );
  }
});

// Guards against an invalid contract that locks its customer out.
test('keeps the last valid contract', async () => {
  const contractRevision = deployment.publishText('recup-audits', '{"customer":"recup-audits"}');
  for (const node of deployment.nodes) {
    await waitUntil(`the refusal by ${node.vmId}`, () =>
      node.hasLogged('contract refused', { customer: 'recup-audits', contractRevision }),
    );
  }
  expect((await lookUp(1, 'still')).status).toBe(200);
  expect((await lookUp(2, 'still')).status).toBe(200);
  deployment.publish(createContract());
});
