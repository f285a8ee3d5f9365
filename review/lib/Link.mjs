/**
 * The link to an engine: a proxy that passes all bytes on, and holds them while the link is cut.
 */
import { connect, createServer } from 'node:net';
import { once } from 'node:events';

export class Link {
  isCut = false;

  pairs = new Set();

  waiting = [];

  constructor(record, engine) {
    this.record = record;
    this.engine = engine;
    this.server = createServer({ allowHalfOpen: true }, (socket) => this.accept(socket));
  }

  async listen(host) {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.address = `${host}:${this.server.address().port}`;
  }

  accept(near) {
    near.on('error', () => {});
    if (this.isCut) {
      near.pause();
      this.waiting.push(near);
      return;
    }
    const far = connect({ host: this.engine.host, port: this.engine.port, allowHalfOpen: true });
    const pair = [near, far];
    this.pairs.add(pair);
    pair.forEach((socket, index) => {
      const other = pair[1 - index];
      socket.on('data', (data) => other.write(data));
      socket.on('end', () => other.end());
      socket.on('error', () => other.resetAndDestroy());
      socket.on('close', () => this.pairs.delete(pair));
    });
  }

  cut() {
    this.record.add(`link to ${this.engine.id}: is cut`);
    this.isCut = true;
    this.pairs.forEach((pair) => pair.forEach((socket) => socket.pause()));
  }

  heal() {
    this.record.add(`link to ${this.engine.id}: is whole again`);
    this.isCut = false;
    this.pairs.forEach((pair) => pair.forEach((socket) => socket.resume()));
    this.waiting.splice(0).forEach((socket) => {
      this.accept(socket);
      socket.resume();
    });
  }

  stop() {
    this.server.close();
    [...this.pairs].flat().forEach((socket) => socket.destroy());
    this.waiting.forEach((socket) => socket.destroy());
  }
}
