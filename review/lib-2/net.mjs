/**
 * Listeners on free loopback ports, and whole bodies.
 */
/* eslint-disable import-x/extensions, no-restricted-syntax -- modules of Node.js whose steps follow each other */
import { Buffer } from 'node:buffer';
import net from 'node:net';
import { LOOPBACK } from './names.mjs';

export async function findFreePort() {
  const server = net.createServer();
  await new Promise((resolve) => {
    server.listen(0, LOOPBACK, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
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
