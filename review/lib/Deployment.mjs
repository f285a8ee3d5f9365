/* eslint-disable import-x/extensions -- Node.js needs the extension of a module. */
/**
 * A small deployment on loopback addresses: a store, engines and three nodes. It ends every process
 * that it has started.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { randomInt } from 'node:crypto';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { FrontNode } from './FrontNode.mjs';
import { Record } from './Record.mjs';
import { Store } from './Store.mjs';

const ZONES = ['seq-brisbane', 'seq-goldcoast', 'fnq-cairns'];

export const HOST = 'ficu95.example';

export const KEY = 'xd9dnn2ctnfzs989anu6';

/** Routes and limits like those of the site recup-qld. */
export function createConfiguration(changes = {}) {
  const shared = { host: HOST, priority: 2, maxAttempts: 1, anonymous: false, sticky: false };
  return {
    version: 7,
    routes: [
      {
        ...shared,
        name: 'r-credit',
        prefix: '/credit/',
        kind: 'unsafe',
        timeoutMs: 2_000,
        latencyGoalMs: 243,
        service: 'ledger',
      },
      {
        ...shared,
        name: 'r-status',
        prefix: '/status/',
        kind: 'safe',
        timeoutMs: 2_000,
        latencyGoalMs: 243,
        maxAttempts: 2,
        service: 'ledger',
      },
    ],
    services: [
      {
        name: 'ledger',
        healthPath: '/healthz',
        maxConnections: 110,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'huka270', apiKeys: [KEY], priority: 1 }],
    ...changes,
  };
}

/**
 * Adds a route for generations, and its service, to a configuration.
 * @param engineChanges changes of what the engines of the service can do.
 */
export function addGenerations(configuration, engineChanges = {}) {
  const [pattern] = configuration.routes;
  const route = {
    ...pattern,
    name: 'r-audit',
    prefix: '/audit/',
    kind: 'streaming',
    timeoutMs: 39_000,
    latencyGoalMs: 1_800,
    priority: 1,
    sticky: true,
    service: 'writers',
    streamResume: false,
    gapTargetMs: 180,
  };
  const service = {
    name: 'writers',
    healthPath: '/healthz',
    maxConnections: 282,
    protocol: 'h1',
    tls: false,
    engine: {
      slots: 24,
      kvCapacity: 34_365,
      kvTokenBytes: 35_136,
      linkMbps: 5_100,
      moves: false,
      backups: false,
      stride: 4,
      most: 12,
      pinMs: 4_000,
      holdMs: 2_000,
      handleS: 5,
      models: [{ name: 'm' }],
      ...engineChanges,
    },
  };
  return {
    ...configuration,
    routes: [...configuration.routes, route],
    services: [...configuration.services, service],
  };
}

export class Deployment {
  nodes = [];

  engines = [];

  constructor(recordFile, configuration) {
    this.configuration = configuration;
    this.record = new Record(recordFile);
    this.folder = mkdtempSync(path.join(tmpdir(), 'bramleyvane-review-'));
    this.subnet = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
    this.store = new Store(this.record);
  }

  async start(engines, nodeCount = 3) {
    await this.store.listen(`${this.subnet}.7`);
    this.store.put('op/config', this.configuration);
    await Promise.all(engines.map((engine) => this.addEngine(engine)));
    const ips = Array.from({ length: nodeCount }, (_, index) => `${this.subnet}.${index + 11}`);
    this.nodes = ips.map(
      (ip, index) =>
        new FrontNode({
          name: `front-${ZONES[index % ZONES.length]}-${index + 1}`,
          ip,
          zone: ZONES[index % ZONES.length],
          storeAddress: this.store.address,
          folder: this.folder,
        }),
    );
    await Promise.all(this.nodes.map((node) => node.chooseAddresses()));
    const seeds = this.nodes.slice(0, 3).map(({ listen }) => listen.control);
    this.nodes.forEach((node) => node.start(seeds));
    await Promise.all(this.nodes.map((node) => node.waitUntilReady()));
    this.record.add(`nodes: ${this.nodes.map(({ name }) => name).join(', ')} are ready`);
  }

  async addEngine(engine) {
    await engine.listen(`${this.subnet}.${100 + this.engines.length}`);
    this.engines.push(engine);
    this.store.put(`servers/${engine.id}`, engine.createEntry());
  }

  async stop() {
    await Promise.all(this.nodes.map((node) => node.stop()));
    this.engines.forEach((engine) => engine.exit());
    this.store.stop();
    this.record.save();
    if (!process.env.KEEP) rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Exit statuses of a case. */
const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

/** A case that hasn't ended by then has not run. */
const MAX_RUN_MS = 117_000;

/**
 * Runs a case, and ends the process with 1 if the rule was broken.
 * @param run returns the breaches of the rule, as text; it throws if the case could not run.
 */
export async function runCase(folder, run, configuration = createConfiguration()) {
  const deployment = new Deployment(path.join(folder, 'record.txt'), configuration);
  let status = COULD_NOT_RUN;
  const giveUp = () => {
    deployment.record.add('given up');
    deployment.stop().finally(() => process.exit(COULD_NOT_RUN));
  };
  const timer = setTimeout(giveUp, MAX_RUN_MS);
  ['SIGTERM', 'SIGINT'].forEach((name) => process.once(name, giveUp));
  try {
    const breaches = await run(deployment);
    breaches.forEach((breach) => deployment.record.add(`BROKEN: ${breach}`));
    status = breaches.length > 0 ? BROKEN : HELD;
  } catch (thrown) {
    deployment.record.add(`could not run: ${thrown.stack}`);
  }
  clearTimeout(timer);
  deployment.record.add(`exit status ${status}`);
  await deployment.stop();
  console.log(deployment.record.lines.slice(-8).join('\n'));
  process.exit(status);
}
