/**
 * The nodes of a small deployment, with one store.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
/* eslint-disable import-x/extensions -- modules of Node.js */
import { findFreePorts } from './net.mjs';
import { Node, readDeployFile } from './Node.mjs';

/** For callers, readiness, other nodes, the directory and operators. */
const PORTS_PER_NODE = 5;

export class Deployment {
  constructor(record, store) {
    this.record = record;
    this.store = store;
    this.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.deployFile = readDeployFile();
    this.nodes = [];
    this.seeds = [];
    /** Other processes that a script has started. */
    this.children = [];
    /** Lets a script put a proxy of its own between a node and the store. */
    this.storeAddress = () => store.address;
  }

  async addNodes(count) {
    const zones = ['seq-brisbane', 'seq-goldcoast'];
    const ports = await findFreePorts(PORTS_PER_NODE * count);
    for (let index = 0; index < count; index += 1) {
      const name = `front-${this.nodes.length + 1}`;
      const own = ports.slice(index * PORTS_PER_NODE, (index + 1) * PORTS_PER_NODE);
      this.nodes.push(new Node(this, name, zones[index % zones.length], own));
    }
    this.seeds = this.nodes.slice(0, 3).map(({ listen: { control } }) => control);
    this.nodes.forEach((node) => node.start());
    await Promise.all(this.nodes.map((node) => node.waitUntilReady()));
  }

  /** Ends all processes that were started. */
  async stop() {
    this.children.forEach((child) => child.kill('SIGKILL'));
    this.nodes.forEach((node) => node.kill('SIGKILL'));
    await Promise.all(this.nodes.map(({ ended }) => ended));
    rmSync(this.folder, { recursive: true, force: true });
  }
}
