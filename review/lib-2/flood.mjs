/**
 * A model engine in trouble, as a process of its own: each answer is a head and then chunks of one byte
 * without end, until the caller closes. It prints its address, and each request on a line.
 * `node flood.mjs SECONDS MEGABITS`: the rate holds for all connections together.
 */
import { Buffer } from 'node:buffer';
import net from 'node:net';
import process from 'node:process';
import { setInterval, setTimeout } from 'node:timers';

const MS_PER_SECOND = 1_000;
const BYTES_PER_MEGABIT = 125_000;
const INTERVAL_MS = 2;
const MAX_QUEUED_BYTES = 262_144;

const [seconds, megabits] = process.argv.slice(2).map(Number);
const chunks = Buffer.from('1\r\nx\r\n'.repeat(5_000));
const sockets = new Set();

const server = net.createServer((socket) => {
  socket.on('error', () => {});
  socket.once('data', (data) => {
    const [, id = ''] = /x-bramleyvane-request-id: *(\S+)/i.exec(data.toString('latin1')) ?? [];
    process.stdout.write(`${JSON.stringify({ id })}\n`);
    socket.write(
      `HTTP/1.1 200 OK\r\nX-Bramleyvane-Request-Id: ${id}\r\nX-Bramleyvane-Server-Seal: s\r\n` +
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n',
    );
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
});
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${JSON.stringify({ address: `127.0.0.1:${server.address().port}` })}\n`);
});

let allowedBytes = 0;
setInterval(() => {
  const perInterval = (megabits * BYTES_PER_MEGABIT * INTERVAL_MS) / MS_PER_SECOND;
  allowedBytes = Math.min(allowedBytes + perInterval, perInterval * 10);
  const ready = [...sockets].filter(
    ({ destroyed, writableLength }) => !destroyed && writableLength <= MAX_QUEUED_BYTES,
  );
  for (let index = 0; allowedBytes > 0 && ready.length > 0; index += 1) {
    const socket = ready[index % ready.length];
    if (socket.writableLength > MAX_QUEUED_BYTES) break;
    socket.write(chunks);
    allowedBytes -= chunks.length;
  }
}, INTERVAL_MS);
setTimeout(() => process.exit(), seconds * MS_PER_SECOND);
