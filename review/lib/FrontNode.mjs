/* eslint-disable import-x/extensions -- Node.js needs the extension of a module. */
/**
 * One node of the system: a process started with the command of the deploy file, on a loopback
 * address of its own.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { openSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { BOUNDS, readCommand, renderTemplate } from './settings.mjs';

const ZONES = { 'seq-brisbane': 'seq', 'seq-goldcoast': 'seq', 'fnq-cairns': 'fnq' };

const READY_TIMEOUT_MS = 15_000;

const READY_INTERVAL_MS = 50;

async function findFreePort(host) {
  const server = createServer().listen(0, host);
  await once(server, 'listening');
  const { port } = server.address();
  server.close();
  await once(server, 'close');
  return port;
}

export class FrontNode {
  /** @param place `{ name, ip, zone, storeAddress, folder }`. */
  constructor(place) {
    this.place = place;
    this.settingsFile = path.join(place.folder, `${place.name}.json`);
  }

  get name() {
    return this.place.name;
  }

  /** Chooses the addresses, which the settings of all nodes need before the first start. */
  async chooseAddresses() {
    const { ip } = this.place;
    const names = ['front', 'ready', 'control', 'directory'];
    const ports = await Promise.all(names.map(async () => findFreePort(ip)));
    this.listen = Object.fromEntries(names.map((name, index) => [name, `${ip}:${ports[index]}`]));
  }

  get frontAddress() {
    return this.listen.front;
  }

  /** @param seeds `control` addresses of nodes. */
  start(seeds) {
    const { name, ip, zone, storeAddress, folder } = this.place;
    const text = renderTemplate({
      node: name,
      zone,
      region: ZONES[zone],
      ip,
      zones: ZONES,
      seeds,
      listen: this.listen,
      platform: { address: storeAddress },
      bounds: BOUNDS,
    });
    writeFileSync(this.settingsFile, text);
    const [program, ...words] = readCommand(this.settingsFile);
    const log = openSync(path.join(folder, `${name}.out`), 'a');
    this.process = spawn(program, words, { stdio: ['ignore', log, log] });
    this.exited = once(this.process, 'exit');
  }

  signal(name) {
    this.process.kill(name);
  }

  async stop() {
    if (!this.process || this.process.exitCode !== null || this.process.signalCode !== null) return;
    this.process.kill('SIGKILL');
    await this.exited;
  }

  async waitUntilReady() {
    for (let waitedMs = 0; waitedMs < READY_TIMEOUT_MS; waitedMs += READY_INTERVAL_MS) {
      // eslint-disable-next-line no-await-in-loop
      if (await this.isReady()) return;
      // eslint-disable-next-line no-await-in-loop
      await sleep(READY_INTERVAL_MS);
    }
    throw new Error(`${this.name} did not become ready.`);
  }

  async isReady() {
    return new Promise((resolve) => {
      const call = request(`http://${this.listen.ready}/api/readyz`, (answer) => {
        answer.resume();
        resolve(answer.statusCode === 200);
      });
      call.setTimeout(1_000, () => call.destroy());
      call.on('error', () => resolve(false));
      call.end();
    });
  }
}
