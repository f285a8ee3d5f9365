/**
 * A node as a process of its own, started with the command and the template of the deploy file.
 */
/* eslint-disable import-x/extensions, no-await-in-loop -- modules of Node.js whose steps follow each other */
import { spawn } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { LOOPBACK, ROOT } from './names.mjs';

/** Fills in the template of the deploy file as the platform does, as far as it is used there. */
function render(template, fields) {
  const find = (name) => name.split('.').reduce((value, part) => value?.[part], fields);
  return template
    .replace(/\{\{\^([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_all, name, text) =>
      find(name) === undefined ? text : '',
    )
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_all, name) => {
      const value = find(name);
      return value === undefined ? '' : JSON.stringify(value);
    })
    .replace(/\{\{([\w.]+)\}\}/g, (_all, name) => String(find(name) ?? ''));
}

export function readDeployFile() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run] = /^run = "([^"]*)"$/m.exec(text);
  const [, template] = /^template = "([^"]*)"$/m.exec(text);
  return { run, template: readFileSync(path.join(ROOT, template), 'utf8') };
}

/** One node: a process of its own, started with the command of the deploy file. */
export class Node {
  constructor(deployment, name, zone, ports) {
    this.deployment = deployment;
    this.name = name;
    this.zone = zone;
    const [front, ready, control, directory, operator] = ports;
    this.listen = {
      front: `${LOOPBACK}:${front}`,
      ready: `${LOOPBACK}:${ready}`,
      control: `${LOOPBACK}:${control}`,
      directory: `${LOOPBACK}:${directory}`,
    };
    this.operator = `${LOOPBACK}:${operator}`;
    this.lines = [];
    this.settingsPath = path.join(deployment.folder, `${name}.json`);
  }

  writeSettings() {
    const { template } = this.deployment.deployFile;
    const fields = {
      node: this.name,
      zone: this.zone,
      region: 'seq',
      ip: LOOPBACK,
      zones: { 'seq-brisbane': 'seq', 'seq-goldcoast': 'seq' },
      listen: this.listen,
      seeds: this.deployment.seeds,
      platform: { address: this.deployment.storeAddress(this) },
      limits: { maxFds: 4_100 },
      bounds: {
        revokeMs: 5_000,
        graceS: 8,
        retryBudgetRatio: 0.2,
        retrySlack: 56,
        budgetWindowS: 10,
        ttl_max_s: 5,
      },
    };
    const text = render(template, fields).replace(`${LOOPBACK}:9464`, this.operator);
    writeFileSync(this.settingsPath, text);
  }

  start() {
    this.writeSettings();
    const words = this.deployment.deployFile.run.split(' ');
    const [, ...args] = words.map((word) =>
      word === '/etc/bramleyvane/settings.toml' ? this.settingsPath : word,
    );
    this.lines = [];
    this.exit = undefined;
    this.startedAtMs = performance.now();
    this.process = spawn(process.execPath, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.ended = new Promise((resolve) => {
      this.process.once('exit', (code, signal) => {
        this.exit = { code, signal };
        resolve();
      });
    });
    [this.process.stdout, this.process.stderr].forEach((stream) => {
      let rest = '';
      stream.on('data', (data) => {
        const parts = (rest + data).split('\n');
        rest = parts.pop();
        const atMs = performance.now();
        parts.forEach((text) => this.lines.push({ atMs, text }));
      });
    });
  }

  kill(signal) {
    if (this.exit === undefined) this.process.kill(signal);
  }

  async isReady() {
    return new Promise((resolve) => {
      const request = http.get(`http://${this.listen.ready}/api/readyz`, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on('error', () => resolve(false));
    });
  }

  async waitUntilReady(timeoutMs = 15_000) {
    const untilMs = performance.now() + timeoutMs;
    while (performance.now() < untilMs) {
      if (await this.isReady()) return;
      // The platform starts a process again that has ended, here because another one took a port.
      if (this.exit !== undefined) this.start();
      await sleep(50);
    }
    throw new Error(`${this.name} did not become ready`);
  }
}
