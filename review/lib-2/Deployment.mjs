/**
 * The nodes of a small deployment, with one store.
 */
/* eslint-disable import-x/extensions, no-await-in-loop -- modules of Node.js whose steps follow each other */
import { mkdtempSync, rmSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { findFreePort } from './net.mjs';
import { Node, readDeployFile } from './Node.mjs';

export class Deployment {
  constructor(record, store) {
    this.record = record;
    this.store = store;
    this.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.deployFile = readDeployFile();
    this.nodes = [];
    this.seeds = [];
    /** Lets a script put a proxy of its own between a node and the store. */
    this.storeAddress = () => store.address;
  }

  async addNodes(count) {
    const zones = ['seq-brisbane', 'seq-goldcoast'];
    for (let index = 0; index < count; index += 1) {
      const ports = [];
      for (let each = 0; each < 5; each += 1) ports.push(await findFreePort());
      const name = `front-${this.nodes.length + 1}`;
      this.nodes.push(new Node(this, name, zones[index % zones.length], ports));
    }
    this.seeds = this.nodes.slice(0, 3).map(({ listen: { control } }) => control);
    this.nodes.forEach((node) => node.start());
    await Promise.all(this.nodes.map((node) => node.waitUntilReady()));
  }

  /** Ends all processes that were started. */
  async stop() {
    this.nodes.forEach((node) => node.kill('SIGKILL'));
    await Promise.all(this.nodes.map(({ ended }) => ended));
    rmSync(this.folder, { recursive: true, force: true });
  }
}
