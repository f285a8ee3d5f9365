import { once } from 'node:events';
import { WebSocket, WebSocketServer } from 'ws';
import * as z from 'zod';
import {
  startNodes,
  waitUntil,
  type TestNode,
  type TestNodeOptions,
} from '../../../tests/TestNode';
import { createIncarnation, ServingError, type VmId } from '../../core';
import { Plugin } from '../../kernel';
import { PeerHandler, Peers, type Peer } from '../../services';
import { decodePeerFrame, encodePeerFrame, encodePeerGreeting } from '../../wire';
import { performHandshake } from './handshake';

const FLEET_KEY = 'test-fleet-key-0001';

/** Answers `double` at once, never answers `hang`, and answers `refuse` with an error kind. */
class TestHandler extends PeerHandler {
  readonly schema = z.number();

  constructor(readonly type: 'double' | 'hang' | 'refuse') {
    super();
  }

  async handle(_from: Peer, body: number): Promise<unknown> {
    if (this.type === 'hang') await new Promise(() => {});
    if (this.type === 'refuse') throw new ServingError('limit-reached', { detail: 'full' });
    return body * 2;
  }
}

class TestHandlersPlugin extends Plugin {
  static override readonly type = 'test-handlers';

  override setUp(): void {
    (['double', 'hang', 'refuse'] as const).forEach((type) =>
      this.kernel.provide(PeerHandler, new TestHandler(type)),
    );
  }
}

let started: ReadonlyArray<TestNode> = [];

async function startPair(second: Partial<TestNodeOptions> = {}): Promise<[TestNode, TestNode]> {
  const plugins = [TestHandlersPlugin];
  started = await startNodes([
    { vmId: 'a', plugins },
    { vmId: 'b', plugins, ...second },
  ]);
  return [started[0]!, started[1]!];
}

afterEach(async () => {
  await Promise.all(started.map(async (node) => node.dispose()));
  started = [];
});

async function call(from: TestNode, to: string, type: string, body: unknown): Promise<unknown> {
  return from.get(Peers).call(to as VmId, type, body, from.clock.nowMs() + 5_000);
}

function openRaw(node: TestNode): WebSocket {
  return new WebSocket(`ws://${node.peerAddress}`);
}

/** Authenticates a raw socket with the fleet key, so that the test can send any frames on it. */
async function authenticateRaw(socket: WebSocket, side: 'dialler' | 'acceptor'): Promise<void> {
  const received: Uint8Array[] = [];
  socket.on('message', (data: Buffer) => received.push(data));
  if (socket.readyState === WebSocket.CONNECTING) await once(socket, 'open');
  await performHandshake({
    side,
    self: { vmId: 'x' as VmId, incarnation: createIncarnation() },
    fleetKey: FLEET_KEY,
    write: (data) => socket.send(data),
    read: async () => {
      await waitUntil(() => received.length > 0);
      return received.shift();
    },
  });
}

test('calls in both directions', async () => {
  const [a, b] = await startPair();
  await expect(call(a, 'b', 'double', 21)).resolves.toBe(42);
  await expect(call(b, 'a', 'double', 4)).resolves.toBe(8);
  expect(a.logLines.filter(({ event }) => event === 'peer link opened')).toHaveLength(1);
});

// Guards against an error kind that is lost between nodes, so that the caller gets a vaguer error.
test('returns the error kind of the peer', async () => {
  const [a] = await startPair();
  await expect(call(a, 'b', 'refuse', 1)).rejects.toMatchObject({
    kind: 'limit-reached',
    detail: 'full',
  });
});

// Guards against a process outside the fleet that reaches a handler.
test('refuses a wrong key', async () => {
  const [a, b] = await startPair({ settings: { fleetKey: 'another-fleet-key-01' } });
  await expect(call(b, 'a', 'double', 1)).rejects.toMatchObject({ kind: 'peer-unreachable' });
  await waitUntil(() => a.hasLogged('peer refused'));
  expect(a.get(Peers).listLinked()).toEqual([]);
});

// Guards against a process without the key that sends this node's own proof back.
test('refuses a reflected proof', async () => {
  const [a] = await startPair();
  const socket = openRaw(a);
  socket.on('message', (data) => socket.send(data as Buffer));
  await once(socket, 'close');
  expect(a.hasLogged('peer refused')).toBe(true);
  expect(a.get(Peers).listLinked()).toEqual([]);
});

// Guards against a node that crashes or hangs on input that no node would send.
test.each([
  ['bytes that are not msgpack', Buffer.from([0xc1, 0xff])],
  ['a frame of no known form', Buffer.from([0x80])],
  ['an unknown type', encodePeerFrame({ form: 'request', request: { type: '?', body: 1 } })],
  ['an invalid body', encodePeerFrame({ form: 'request', request: { type: 'double', body: '' } })],
  ['a frame over the limit', Buffer.alloc(9_000_000)],
])('closes the link on %s and keeps serving', async (_name, data) => {
  const [a, b] = await startPair();
  const socket = openRaw(a);
  await authenticateRaw(socket, 'dialler');
  await waitUntil(() => a.get(Peers).listLinked().length === 1);
  socket.on('error', () => {});
  socket.send(data);
  await once(socket, 'close');
  await waitUntil(() => a.hasLogged('peer link closed'));
  await expect(call(b, 'a', 'double', 3)).resolves.toBe(6);
});

// Guards against a crash on a malformed greeting, which anyone can send before authentication.
test('refuses a malformed greeting and keeps serving', async () => {
  const [a, b] = await startPair();
  const socket = openRaw(a);
  await once(socket, 'open');
  socket.send(Buffer.concat([encodePeerGreeting({} as never), Buffer.alloc(2_000)]));
  await once(socket, 'close');
  await expect(call(b, 'a', 'double', 3)).resolves.toBe(6);
});

// Guards against replies that resolve the wrong call when a peer answers out of order.
test('matches replies that arrive out of order', async () => {
  const [a] = await startPair();
  const server = new WebSocketServer({ host: '127.0.0.1', port: 0 });
  await once(server, 'listening');
  const { port } = server.address() as { port: number };
  a.mergeVms([{ ...a.vm, vmId: 'x' as VmId, peerAddress: `127.0.0.1:${port}` }], 2);
  server.on('connection', (socket) => {
    const requests: Array<{ id: number; body: unknown }> = [];
    void authenticateRaw(socket, 'acceptor').then(() =>
      socket.on('message', (data: Buffer) => {
        const frame = decodePeerFrame(data);
        if (frame.form !== 'request') return;
        requests.unshift({ id: frame.request.id!, body: frame.request.body });
        if (requests.length < 2) return;
        requests.forEach(({ id, body }) => {
          socket.send(encodePeerFrame({ form: 'reply', id, reply: `reply to ${body}` }));
          socket.send(encodePeerFrame({ form: 'reply', id, reply: 'a second reply' }));
        });
      }),
    );
  });
  const answers = await Promise.all([call(a, 'x', 't', 1), call(a, 'x', 't', 2)]);
  expect(answers).toEqual(['reply to 1', 'reply to 2']);
  server.clients.forEach((socket) => socket.terminate());
  server.close();
});

// Guards against a call that keeps waiting for a node that has died.
test('fails pending calls of a lost link', async () => {
  const [a, b] = await startPair();
  const pending = call(a, 'b', 'hang', 1);
  pending.catch(() => {});
  await waitUntil(() => b.get(Peers).listLinked().length === 1);
  await b.dispose();
  await expect(pending).rejects.toMatchObject({ kind: 'peer-unreachable' });
});

test('fails a call at its deadline', async () => {
  const [a] = await startPair();
  const late = a.get(Peers).call('b' as VmId, 'hang', 1, a.clock.nowMs() + 50);
  await expect(late).rejects.toMatchObject({ kind: 'peer-unreachable' });
  await expect(call(a, 'b', 'double', 1)).resolves.toBe(2);
});

test('fails a call to a closed port or an unlisted VM', async () => {
  const [a, b] = await startPair();
  await b.dispose();
  await expect(call(a, 'b', 'double', 1)).rejects.toMatchObject({ kind: 'peer-unreachable' });
  await expect(call(a, 'nobody', 'double', 1)).rejects.toMatchObject({ kind: 'peer-unreachable' });
});

// Guards against links that close each other when both sides dial at once.
test('answers calls when both sides dial at once', async () => {
  const [a, b] = await startPair();
  const calls = [1, 2, 3].flatMap((n) => [call(a, 'b', 'double', n), call(b, 'a', 'double', n)]);
  await expect(Promise.all(calls)).resolves.toEqual([2, 2, 4, 4, 6, 6]);
});

// Guards against a message for one VM that reaches another VM at a reused address.
test('recognises a reused address', async () => {
  const [a, b] = await startPair();
  a.mergeVms([{ ...b.vm, vmId: 'c' as VmId }], 2);
  await expect(call(a, 'c', 'double', 1)).rejects.toMatchObject({ kind: 'peer-unreachable' });
  expect(a.get(Peers).listLinked()).toEqual([]);
});

// Guards against confusing a restarted node with its earlier incarnation.
test('replaces the link of an earlier incarnation', async () => {
  const [a, b] = await startPair();
  await call(a, 'b', 'double', 1);
  const [again] = await startNodes([{ vmId: 'b', plugins: [TestHandlersPlugin] }]);
  again!.mergeVms([a.vm], 2);
  const pending = call(a, 'b', 'hang', 1);
  pending.catch(() => {});
  await expect(call(again!, 'a', 'double', 1)).resolves.toBe(2);
  await expect(pending).rejects.toMatchObject({ kind: 'peer-unreachable' });
  expect(a.get(Peers).listLinked()).toEqual([{ vmId: 'b', incarnation: again!.incarnation }]);
  expect(b.incarnation).not.toBe(again!.incarnation);
  await again!.dispose();
});
