import { createServer, type Server } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { TestNode, waitUntil } from '../../../tests/TestNode';
import type { EndpointId, Vm } from '../../core';
import { Fleet, PublishedState, type FleetEndpoint } from '../../services';
import { ReportsPlugin } from '.';

let node: TestNode;
let server: Server;

/** Current behaviour of the endpoint. */
let behaviour: 'live' | 'leaving' | 'hang' | 'broken';
let openPolls: number;
let maxOpenPolls: number;
let polls: number;

const LOAD = {
  memoryUsedTokens: 5,
  memoryTotalTokens: 10,
  running: 1,
  waiting: 2,
  preemptions: 3,
  models: ['summary-1'],
};

beforeEach(async () => {
  behaviour = 'live';
  [openPolls, maxOpenPolls, polls] = [0, 0, 0];
  server = createServer((request, response) => {
    polls += 1;
    openPolls += 1;
    maxOpenPolls = Math.max(maxOpenPolls, openPolls);
    response.on('close', () => {
      openPolls -= 1;
    });
    if (behaviour === 'hang') return;
    if (behaviour === 'broken') {
      response.end('{');
      return;
    }
    const leaving = behaviour === 'leaving';
    if (request.url === '/healthz') response.setHeader('x-leaving', String(leaving));
    response.end(request.url === '/v1/load' ? JSON.stringify({ ...LOAD, leaving }) : '');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  node = new TestNode({ vmId: 'entry-1', plugins: [ReportsPlugin] });
  await node.start();
});

afterEach(async () => {
  await node.dispose();
  server.closeAllConnections();
  server.close();
});

function addEndpoint(role: 'engine' | 'service'): () => FleetEndpoint {
  const { port } = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  node.mergeVms([node.vm, { ...node.vm, vmId: 'endpoint-1', role, url } as Vm]);
  return () => node.get(Fleet).findEndpoint('endpoint-1' as EndpointId)!;
}

test.each(['engine', 'service'] as const)('polls the %s and detects its leaving', async (role) => {
  const find = addEndpoint(role);
  await waitUntil(() => find().report !== undefined);
  expect(find().report).toMatchObject(role === 'engine' ? LOAD : { leaving: false });
  expect(find().assignable.allowed).toBe(true);
  behaviour = 'leaving';
  await waitUntil(() => find().report?.leaving === true);
  expect(find().assignable.allowed).toBe(false);
});

// Guards against polls that accumulate at an endpoint that hangs.
test('keeps at most one open poll at an endpoint that hangs', async () => {
  behaviour = 'hang';
  const find = addEndpoint('engine');
  await waitUntil(() => polls >= 3);
  expect(maxOpenPolls).toBe(1);
  behaviour = 'live';
  await waitUntil(() => find().report !== undefined);
});

// Guards against a task that ends after the first invalid response.
test('continues after an invalid response', async () => {
  behaviour = 'broken';
  const find = addEndpoint('engine');
  await waitUntil(() => polls >= 1);
  behaviour = 'live';
  await waitUntil(() => find().report !== undefined);
});

// Guards against a task that still polls an endpoint after its removal.
test('stops when the endpoint is removed', async () => {
  const find = addEndpoint('engine');
  await waitUntil(() => find().report !== undefined);
  node.get(PublishedState).merge([{ key: 'vms/endpoint-1', revision: 2, body: null }]);
  await waitUntil(() => openPolls === 0);
  await new Promise((resolve) => {
    setTimeout(resolve, 1_200);
  });
  const before = polls;
  await new Promise((resolve) => {
    setTimeout(resolve, 1_500);
  });
  expect(polls).toBe(before);
});
