/**
 * Stand-in of an engine of a plain service. It checks the expected instance, runs one call for a
 * time, and seals its answer. While it leaves, all its answers say so.
 */
import { createServer } from 'node:http';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

export class Service {
  arrivals = [];

  isLeaving = false;

  sockets = new Set();

  /** @param options `{ id, service, zone, workMs }`. */
  constructor(record, options) {
    this.record = record;
    this.options = options;
    this.server = createServer((request, response) => {
      this.serve(request, response);
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  get id() {
    return this.options.id;
  }

  async listen(host) {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.address = `${host}:${this.server.address().port}`;
  }

  /** Ends as a process does: nothing listens any more, and all connections are closed. */
  exit() {
    if (this.hasExited) return;
    this.hasExited = true;
    this.record.add(`engine ${this.id}: exits`);
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  createEntry(changes = {}) {
    const { service, zone } = this.options;
    return {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 6,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 0,
      born: 1_790_000_000_000,
      ...changes,
    };
  }

  async serve(request, response) {
    const id = request.headers['x-bramleyvane-request-id'];
    const head = { 'X-Bramleyvane-Request-Id': id, ...(this.isLeaving && { 'Server-Leaving': 1 }) };
    request.resume();
    await once(request, 'end');
    if (request.headers['x-bramleyvane-expect-instance'] !== this.id) {
      response.writeHead(421, { ...head, 'X-Bramleyvane-Instance-Id': this.id }).end();
      return;
    }
    this.arrivals.push({ requestId: id, atMs: this.record.nowMs });
    this.record.add(`engine ${this.id}: runs ${id}${this.isLeaving ? ' (leaving)' : ''}`);
    await sleep(this.options.workMs);
    if (response.destroyed || this.hasExited) {
      this.record.add(`engine ${this.id}: the answer of ${id} is lost`);
      return;
    }
    const body = `${this.id} has run ${id}`;
    response
      .writeHead(200, {
        ...head,
        'X-Bramleyvane-Server-Seal': `seal.${this.id}`,
        'Content-Length': body.length,
        ...(this.isLeaving && { Connection: 'close' }),
      })
      .end(body);
  }
}
