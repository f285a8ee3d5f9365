/**
 * A model engine that runs as a process, which can be killed and started again at its address.
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath, URL } from 'node:url';

const PROGRAM = fileURLToPath(new URL('engineProcess.mjs', import.meta.url));

export class EngineProcess {
  /** Number of events that were made of each request, and how many it has in full. */
  made = new Map();

  born = 1_790_000_000_000;

  /** @param options `{ id, service, zone, slots }`. */
  constructor(record, options) {
    this.record = record;
    this.options = options;
  }

  get id() {
    return this.options.id;
  }

  async listen(host, port = 0) {
    this.host = host;
    this.process = fork(PROGRAM, [this.id, host, String(port)]);
    const listening = once(this.process, 'message');
    this.process.on('message', (message) => {
      if (message.requestId === undefined) return;
      this.made.set(message.requestId, message);
    });
    [{ port: this.port }] = await listening;
    this.address = `${host}:${this.port}`;
  }

  /** @param address where the engine is reached, if not at its own address. */
  createEntry(address = this.reachedAt ?? this.address) {
    const { service, zone, slots } = this.options;
    return {
      service,
      address,
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

  async kill() {
    this.process.kill('SIGKILL');
    await once(this.process, 'exit');
    this.record.add(`engine ${this.id}: its process is killed`);
  }

  async restart() {
    this.born += 10_000;
    await this.listen(this.host, this.port);
    this.record.add(`engine ${this.id}: has started again at ${this.address}`);
  }

  exit() {
    this.process.kill('SIGKILL');
  }
}
