/**
 * Stand-in of the platform's store, as `PROTOCOL.md` and the news pages describe it: items under one
 * revision counter, read by prefix and watched; it can be down, and come back from a copy.
 */
import { createServer } from 'node:http';
import { once } from 'node:events';
import { clearTimeout, setTimeout } from 'node:timers';
import { Buffer } from 'node:buffer';
import { URL } from 'node:url';

const MAX_ITEMS = 500;

export class Store {
  /** Newest change of each key; a deleted key has no value. */
  items = new Map();

  /** All changes, oldest first. */
  history = [];

  revision = 100;

  era = 1;

  /** Whether it accepts calls without answering them. */
  isDown = false;

  /** Addresses of machines that it turns away while it serves the others. */
  turnedAway = new Set();

  waiters = new Set();

  sockets = new Set();

  constructor(record) {
    this.record = record;
    this.server = createServer((request, response) => this.serve(request, response));
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async listen(host) {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.address = `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  put(key, value) {
    this.change({ key, value: Buffer.from(JSON.stringify(value)).toString('base64') });
  }

  remove(key) {
    this.change({ key, deleted: true });
  }

  createCopy() {
    return { items: new Map(this.items), history: [...this.history], revision: this.revision };
  }

  restore(copy) {
    this.items = new Map(copy.items);
    this.history = [...copy.history];
    this.revision = copy.revision;
    this.era += 1;
    this.wake();
  }

  setDown(isDown) {
    this.isDown = isDown;
    this.record.add(`store: ${isDown ? 'is down' : 'is back'}`);
    // A call that was waiting has lost its answer.
    this.sockets.forEach((socket) => socket.destroy());
  }

  change(event) {
    this.revision += 1;
    const changed = { ...event, revision: this.revision };
    this.items.set(event.key, changed);
    this.history.push(changed);
    const what = event.deleted ? 'removed' : Buffer.from(event.value, 'base64').toString();
    this.record.add(`store: revision ${this.revision}, ${event.key}: ${what.slice(0, 160)}`);
    this.wake();
  }

  wake() {
    this.waiters.forEach((waiter) => waiter());
  }

  serve(request, response) {
    if (this.isDown) return;
    const url = new URL(request.url, 'http://store');
    const query = Object.fromEntries(url.searchParams);
    if (url.pathname === '/api/kv-range') this.range(query, response);
    else if (url.pathname === '/api/kv-watch') this.watch(query, response);
    else this.answer(response, 404, {});
  }

  answer(response, status, body) {
    if (this.isDown) return;
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Store-Era': String(this.era),
    });
    response.end(JSON.stringify(body));
  }

  range({ prefix = '', after = '' }, response) {
    const found = [...this.items.values()]
      .filter(({ key, deleted }) => !deleted && key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    this.answer(response, 200, {
      items: found.slice(0, MAX_ITEMS),
      hasMore: found.length > MAX_ITEMS,
      storeRevision: this.revision,
    });
  }

  watch({ prefix = '', after = '0', waitMs = '0' }, response) {
    let timer;
    const waiter = () => {
      if (Number(after) > this.revision) {
        this.finishWatch(waiter, timer, response, 410, {});
        return;
      }
      const events = this.history.filter(
        ({ key, revision }) => revision > Number(after) && key.startsWith(prefix),
      );
      if (events.length === 0) return;
      this.finishWatch(waiter, timer, response, 200, { events, storeRevision: this.revision });
    };
    timer = setTimeout(
      () =>
        this.finishWatch(waiter, timer, response, 200, {
          events: [],
          storeRevision: this.revision,
        }),
      Number(waitMs),
    );
    this.waiters.add(waiter);
    waiter();
  }

  finishWatch(waiter, timer, response, status, body) {
    this.waiters.delete(waiter);
    clearTimeout(timer);
    this.answer(response, status, body);
  }
}
