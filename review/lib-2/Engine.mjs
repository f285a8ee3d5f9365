/**
 * Stand-in of a model engine, or of a plain service when `events` is 0.
 *
 * A run reads the whole body first, and emits one event in each interval. Copies of runs are kept by
 * address and handle.
 */
/* eslint-disable import-x/extensions, no-await-in-loop -- modules of Node.js whose steps follow each other */
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { listen, readAll } from './net.mjs';
import { hash } from './Record.mjs';

export class Engine {
  /** @param options id, service, zone, events, intervalMs, callMs, behave. */
  constructor(record, options) {
    this.record = record;
    this.options = { zone: 'seq-brisbane', slots: 24, events: 0, intervalMs: 50, ...options };
    this.runs = new Map();
    this.copies = new Map();
    this.executed = [];
    /** Each run with the times at which it began and ended. */
    this.spans = [];
    this.isSilent = false;
    this.arrived = [];
    this.isLeaving = false;
    this.extraHeaders = {};
    this.sequence = 0;
    this.sockets = new Set();
    this.start = this.start.bind(this);
  }

  async start(port = 0) {
    this.born = Date.now();
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 5_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.address = await listen(this.server, port);
    Engine.byAddress.set(this.address, this);
  }

  stop() {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    this.server.close();
  }

  entry(state = this.isLeaving ? 'draining' : 'ready') {
    const { service, zone, slots } = this.options;
    this.sequence += 1;
    return {
      service,
      address: this.address,
      zone,
      version: 1,
      slots,
      state,
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.born,
    };
  }

  register(store) {
    store.put(`servers/${this.options.id}`, this.entry());
  }

  async serve(request, response) {
    const { url, method, headers } = request;
    if (url === '/api/kv-move') {
      await this.move(JSON.parse(await readAll(request)), response);
      return;
    }
    if (url === '/api/report') {
      this.report(response);
      return;
    }
    const id = headers['x-bramleyvane-request-id'];
    const isHere =
      (headers['x-bramleyvane-expect-instance'] ?? this.options.id) === this.options.id;
    if (!isHere) {
      await readAll(request);
      response.writeHead(421, { 'X-Bramleyvane-Not-Executed': '1', ...this.extraHeaders });
      response.end();
      return;
    }
    const body = await readAll(request);
    const arrival = { id, method, url, headers, bodyBytes: body.length, bodyHash: hash(body) };
    this.arrived.push({ ...arrival, atMs: performance.now() });
    const handled = await this.options.behave?.(this, arrival, request, response);
    if (handled) return;
    await this.run(arrival, request, response);
  }

  refuse(response, status = 503, extra = {}) {
    response.writeHead(status, {
      'X-Bramleyvane-Not-Executed': '1',
      ...this.extraHeaders,
      ...extra,
    });
    response.end();
  }

  async run(arrival, request, response) {
    const { id, headers, bodyBytes, bodyHash, method, url } = arrival;
    const from = headers['kv-from'];
    if (from !== undefined && !this.copies.delete(from)) {
      this.record.write('engine refuses a continuation', { engine: this.options.id, id, from });
      this.refuse(response);
      return;
    }
    const executed = { id, method, url, headers, bodyBytes, bodyHash, from };
    this.executed.push({ ...executed, atMs: performance.now() });
    const after = headers['last-event-id'];
    this.record.write('engine runs', {
      engine: this.options.id,
      id,
      method,
      url,
      bodyBytes,
      bodyHash,
      from,
      after,
    });
    const head = {
      'X-Bramleyvane-Request-Id': id,
      'X-Bramleyvane-Server-Seal': `seal-${this.options.id}`,
      ...this.extraHeaders,
    };
    if (this.options.events === 0) {
      await sleep(this.options.callMs ?? 10);
      response.writeHead(200, { ...head, 'Content-Type': 'text/plain' });
      response.end(`answer of ${this.options.id} to ${id}`);
      return;
    }
    await this.stream(arrival, head, request, response);
  }

  async stream({ id, headers }, head, request, response) {
    const made = Number(headers['last-event-id'] ?? 0);
    const run = { id, made, isStopped: false, response, startedAtMs: performance.now() };
    this.runs.set(id, run);
    this.spans.push(run);
    response.on('close', () => {
      run.isStopped = true;
      run.endedAtMs ??= performance.now();
      if (this.runs.get(id) === run) this.runs.delete(id);
    });
    const backup = Engine.byAddress.get(headers['x-bramleyvane-kv-backup']);
    const type = { 'Content-Type': 'text/event-stream' };
    if (this.options.isUnframed?.()) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, { ...head, ...type });
    response.flushHeaders();
    while (run.made < this.options.events && !run.isStopped) {
      await sleep(this.options.intervalMs);
      while (this.isSilent && !run.isStopped) await sleep(10);
      if (run.isStopped) break;
      run.made += 1;
      response.write(`id: ${run.made}\ndata: token ${run.made}\n\n`);
      backup?.copies.set(`${backup.address}/${id}`, id);
    }
    if (!run.isStopped) {
      run.endedAtMs = performance.now();
      backup?.copies.delete(`${backup.address}/${id}`);
      response.end();
    }
    if (this.runs.get(id) === run) this.runs.delete(id);
  }

  /** Copies the memory of a run to another engine; with `final` the run stops first. */
  async move({ id, to, final }, response) {
    const run = this.runs.get(id);
    const target = Engine.byAddress.get(to);
    const answer = (status, body) => {
      response.writeHead(status, { 'Content-Type': 'application/json', ...this.extraHeaders });
      response.end(JSON.stringify(body));
    };
    if (!run) {
      answer(404, {});
      return;
    }
    if (!final && this.options.refusesCopy?.()) {
      answer(503, {});
      return;
    }
    const handle = `h-${id}`;
    if (final) {
      run.isStopped = true;
      run.endedAtMs = performance.now();
      run.response.destroy();
      this.runs.delete(id);
    }
    this.record.write('engine copies a run', { engine: this.options.id, id, to, final });
    await sleep(this.options.copyMs?.() ?? 20);
    if (!target) {
      answer(503, { handle });
      return;
    }
    target.copies.set(`${this.address}/${handle}`, id);
    answer(200, { handle, created: run.made });
  }

  report(response) {
    response.writeHead(200, { 'Content-Type': 'application/json', ...this.extraHeaders });
    const running = this.runs.size;
    response.end(JSON.stringify({ stage: 'both', models: [], busy: false, sequence: 1, running }));
  }
}

Engine.byAddress = new Map();
