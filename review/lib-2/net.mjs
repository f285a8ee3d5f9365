/**
 * Listeners on free loopback ports, and whole bodies.
 */
/* eslint-disable import-x/extensions, no-await-in-loop, no-restricted-syntax -- modules of Node.js whose steps follow each other */
import { Buffer } from 'node:buffer';
import net from 'node:net';
import { LOOPBACK } from './names.mjs';

/** Returns ports that are free now; all are held until the last one is found, so that none comes twice. */
export async function findFreePorts(count) {
  const servers = Array.from({ length: count }, () => net.createServer());
  const ports = [];
  for (const server of servers) {
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, LOOPBACK, resolve);
    });
    ports.push(server.address().port);
  }
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

export async function listen(server, port = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, resolve);
  });
  return `${LOOPBACK}:${server.address().port}`;
}

export async function readAll(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}
