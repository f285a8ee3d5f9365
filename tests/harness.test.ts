import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { listStandInTypes } from '../stand-ins';
import { ManagedProcess } from './ManagedProcess';
import { NetworkRelay } from './NetworkRelay';
import { waitUntil } from './waitUntil';

interface Link {
  readonly near: Socket;
  readonly relay: NetworkRelay;
  readonly isOpen: () => boolean;
  /** What came back from the far end. */
  readonly received: () => string;
  readonly end: () => Promise<void>;
}

/** A connection through a relay to a server that sends everything back. */
async function openLink(): Promise<Link> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.pipe(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const relay = await NetworkRelay.start(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  const near = connect(Number(relay.address.split(':')[1]), '127.0.0.1');
  near.on('error', () => {});
  await once(near, 'connect');
  let text = '';
  near.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  return {
    near,
    relay,
    isOpen: () => !near.destroyed,
    received: () => text,
    end: async () => {
      near.destroy();
      await relay.stop();
      server.close();
    },
  };
}

// Guards against a fault test that passes because the link was never cut.
test('cuts a link', async () => {
  const link = await openLink();
  link.near.write('a');
  await waitUntil('the echo', () => link.received() === 'a');
  link.relay.setState('cut');
  await waitUntil('the cut', () => !link.isOpen());
  await link.end();
});

// Guards against a stall that drops bytes or lets them through.
test('stalls a link and lets it go on', async () => {
  const link = await openLink();
  link.near.write('a');
  await waitUntil('the echo', () => link.received() === 'a');
  link.relay.setState('stalled');
  link.near.write('b');
  // A second connection that is opened later proves that the relay has had its turn.
  const probe = connect(Number(link.relay.address.split(':')[1]), '127.0.0.1');
  await once(probe, 'connect');
  await waitUntil('the probe', () => link.relay.connectionCount === 2);
  expect(link.received()).toBe('a');
  expect(link.isOpen()).toBe(true);
  link.relay.setState('open');
  await waitUntil('the rest', () => link.received() === 'ab');
  probe.destroy();
  await link.end();
});

// Guards against a stand-in that can't be started by itself, as the demo and the bench do.
test.each(listStandInTypes())('starts %s as a process', async (type) => {
  const standIn = new ManagedProcess(['dist/stand-ins.cjs', type, '--port', '0']);
  const { url } = await standIn.waitForLine('the URL', (line) => typeof line.url === 'string');
  expect((await fetch(`${String(url)}/control/none`)).status).toBeGreaterThanOrEqual(200);
  standIn.terminate();
  expect(await standIn.waitForExit()).toBe(0);
});

test('tells why a process ended', async () => {
  const node = new ManagedProcess(['dist/bramleyvane.cjs', 'serve'], {});
  await expect(node.waitForLine('listening', ({ event }) => event === 'listening')).rejects.toThrow(
    '--vm-id',
  );
});
