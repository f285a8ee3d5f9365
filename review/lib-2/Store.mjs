/**
 * Stand-in of the platform's store: linearizable reads and watches, one revision counter, one era.
 */
/* eslint-disable import-x/extensions, no-await-in-loop -- modules of Node.js whose steps follow each other */
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { listen } from './net.mjs';

export class Store {
  constructor() {
    this.items = new Map();
    this.history = [];
    this.revision = 1;
    this.era = 1;
    this.isDown = false;
    this.waiting = new Set();
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  async start() {
    this.address = await listen(this.server);
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  put(key, value) {
    this.revision += 1;
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value: text, revision: this.revision, created, lease: 0 };
    this.items.set(key, item);
    this.history.push(item);
    this.notify();
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.history.push({ key, revision: this.revision, deleted: true });
    this.notify();
  }

  copy() {
    return { items: new Map(this.items), history: [...this.history], revision: this.revision };
  }

  /** Comes back from a copy: what was written since is gone, and its revisions are given out again. */
  restore(copy) {
    this.items = new Map(copy.items);
    this.history = [...copy.history];
    this.revision = copy.revision;
    this.era += 1;
    this.notify();
  }

  setDown(isDown) {
    this.isDown = isDown;
    this.notify();
  }

  notify() {
    const waiting = [...this.waiting];
    this.waiting.clear();
    waiting.forEach((wake) => wake());
  }

  async serve(request, response) {
    if (this.isDown) {
      this.answer(response, 503, {});
      return;
    }
    const url = new URL(request.url, 'http://store');
    const query = Object.fromEntries(url.searchParams);
    if (url.pathname === '/api/kv-range') this.range(query, response);
    else if (url.pathname === '/api/kv-watch') await this.watch(query, response);
    else this.answer(response, 404, {});
  }

  answer(response, status, body) {
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Store-Era': String(this.era),
    });
    response.end(JSON.stringify(body));
  }

  range({ prefix = '', after = '' }, response) {
    const matching = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = matching.slice(0, 500);
    const hasMore = matching.length > items.length;
    this.answer(response, 200, { items, hasMore, storeRevision: this.revision });
  }

  async watch({ prefix = '', after = '0', waitMs = '0' }, response) {
    const untilMs = performance.now() + Number(waitMs);
    for (;;) {
      if (this.isDown) {
        response.destroy();
        return;
      }
      if (Number(after) > this.revision) {
        this.answer(response, 410, {});
        return;
      }
      const events = this.history.filter(
        ({ key, revision }) => revision > Number(after) && key.startsWith(prefix),
      );
      const leftMs = untilMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        this.answer(response, 200, { events, storeRevision: this.revision });
        return;
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        this.waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }
}
