import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { listStandInTypes } from '../stand-ins';
import { ManagedProcess } from './ManagedProcess';
import { NetworkRelay } from './NetworkRelay';
import { waitUntil } from './waitUntil';

interface Link {
  readonly client: Socket;
  readonly relay: NetworkRelay;
  readonly isOpen: () => boolean;
  /** Text that the echo server has returned. */
  readonly received: () => string;
  readonly close: () => Promise<void>;
}

/** Opens a connection through a relay to an echo server. */
async function openLink(): Promise<Link> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.pipe(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const relay = await NetworkRelay.start(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  const client = connect(Number(relay.address.split(':')[1]), '127.0.0.1');
  client.on('error', () => {});
  await once(client, 'connect');
  let text = '';
  client.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  return {
    client,
    relay,
    isOpen: () => !client.destroyed,
    received: () => text,
    close: async () => {
      client.destroy();
      await relay.stop();
      server.close();
    },
  };
}

// Guards against a fault test that passes although the link was never cut.
test('cuts a link', async () => {
  const link = await openLink();
  link.client.write('a');
  await waitUntil('the echo', () => link.received() === 'a');
  link.relay.setState('cut');
  await waitUntil('the cut', () => !link.isOpen());
  await link.close();
});

// Guards against a stall that drops bytes or lets them pass.
test('stalls and reopens a link', async () => {
  const link = await openLink();
  link.client.write('a');
  await waitUntil('the echo', () => link.received() === 'a');
  link.relay.setState('stalled');
  link.client.write('b');
  // A second connection, opened later, shows that the relay has had time to pass the byte on.
  const probe = connect(Number(link.relay.address.split(':')[1]), '127.0.0.1');
  await once(probe, 'connect');
  await waitUntil('the second connection', () => link.relay.connectionCount === 2);
  expect(link.received()).toBe('a');
  expect(link.isOpen()).toBe(true);
  link.relay.setState('open');
  await waitUntil('the held byte', () => link.received() === 'ab');
  probe.destroy();
  await link.close();
});

// Guards against a stand-in that cannot be started as a process, as the demo and the bench do.
test.each(listStandInTypes())('starts %s as a process', async (type) => {
  const standIn = new ManagedProcess(['dist/stand-ins.cjs', type, '--port', '0']);
  const { url } = await standIn.waitForLine('the URL', (line) => typeof line.url === 'string');
  expect((await fetch(`${String(url)}/control/none`)).status).toBeGreaterThanOrEqual(200);
  standIn.terminate();
  expect(await standIn.waitForExit()).toBe(0);
});

test('reports why a process ended', async () => {
  const node = new ManagedProcess(['dist/bramleyvane.cjs', 'serve'], {});
  await expect(node.waitForLine('listening', ({ event }) => event === 'listening')).rejects.toThrow(
    '--vm-id',
  );
});
