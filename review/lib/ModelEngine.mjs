/**
 * Stand-in of a model engine: it answers a prompt with a stream of numbered events. A prompt with the
 * deadly part ends its process as it begins to write the answer; it starts again some seconds later
 * under its id, at its address, and knows nothing of before.
 */
import { createServer } from 'node:http';
import { once } from 'node:events';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

const RESTART_LISTEN_RETRY_MS = 50;

/** As on the sheets: an event of a stream holds 4 tokens. */
const TOKENS_PER_EVENT = 4;

export class ModelEngine {
  arrivals = [];

  crashes = [];

  lost = [];

  born = 1_790_000_000_000;

  sockets = new Set();

  running = new Map();

  isUp = false;

  /** @param options `{ id, service, zone, slots, firstEventMs, eventMs, deadlyPart, downMs }`. */
  constructor(record, options) {
    this.record = record;
    this.options = options;
  }

  get id() {
    return this.options.id;
  }

  async listen(host, port = 0) {
    this.host = host;
    this.server = createServer((request, response) => {
      this.serve(request, response);
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => {});
    });
    this.server.listen(port, host);
    await once(this.server, 'listening');
    this.port = this.server.address().port;
    this.address = `${host}:${this.port}`;
    this.isUp = true;
  }

  createEntry() {
    const { service, zone, slots } = this.options;
    return {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      stage: 'both',
      models: [{ name: 'm', version: 1, adapters: [] }],
      sequence: 0,
      born: this.born,
    };
  }

  exit() {
    this.isUp = false;
    this.hasExited = true;
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  crash(requestId) {
    if (!this.isUp) return;
    this.isUp = false;
    const lost = [...this.running].filter(([, part]) => part !== this.options.deadlyPart);
    this.lost.push(...lost.map(([id]) => id));
    this.crashes.push({ requestId, atMs: this.record.nowMs });
    this.record.add(
      `engine ${this.id}: crashes as it begins to write the answer of ${requestId}; ` +
        `${lost.length} other streams are lost`,
    );
    this.running.clear();
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    setTimeout(() => {
      this.restart();
    }, this.options.downMs);
  }

  async restart() {
    if (this.hasExited) return;
    this.born += this.options.downMs;
    try {
      await this.listen(this.host, this.port);
    } catch {
      setTimeout(() => {
        this.restart();
      }, RESTART_LISTEN_RETRY_MS);
      return;
    }
    this.onRestart?.(this);
  }

  async serve(request, response) {
    const { headers } = request;
    const id = headers['x-bramleyvane-request-id'];
    const head = { 'X-Bramleyvane-Request-Id': id };
    request.resume();
    await once(request, 'end').catch(() => {});
    if (headers['x-bramleyvane-expect-instance'] !== this.id) {
      response.writeHead(421, { ...head, 'X-Bramleyvane-Instance-Id': this.id }).end();
      return;
    }
    if (this.running.size >= this.options.slots) {
      response.writeHead(503, { ...head, 'X-Bramleyvane-Not-Executed': '1' }).end();
      return;
    }
    const { deadlyPart } = this.options;
    const parts = (headers['x-bramleyvane-prompt-prefix'] ?? '').split(',');
    const isDeadly = parts.some((part) => part.split(':')[0] === deadlyPart);
    this.arrivals.push({ requestId: id, isDeadly, atMs: this.record.nowMs });
    this.record.add(`engine ${this.id}: takes ${id}${isDeadly ? ' (deadly)' : ''}`);
    this.running.set(id, isDeadly ? deadlyPart : '');
    await sleep(this.options.firstEventMs);
    if (response.destroyed) return;
    if (isDeadly) {
      this.crash(id);
      return;
    }
    const outputTokens = Number(headers['x-bramleyvane-token-usage'].split(',')[1]);
    await this.stream(id, head, response, outputTokens / TOKENS_PER_EVENT);
  }

  async stream(id, head, response, events) {
    response.writeHead(200, {
      ...head,
      'X-Bramleyvane-Server-Seal': `seal.${this.id}`,
      'X-Bramleyvane-Weight-Versions': '1',
      'Content-Type': 'text/event-stream',
    });
    for (let event = 1; event <= events && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
      // eslint-disable-next-line no-await-in-loop
      await sleep(this.options.eventMs);
    }
    if (!response.destroyed) this.running.delete(id);
    response.end();
  }
}
