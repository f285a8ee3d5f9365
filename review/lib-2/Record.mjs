/**
 * Record of what was sent, answered and run, one JSON object a line.
 */
import { createHash } from 'node:crypto';
import { appendFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { performance } from 'node:perf_hooks';

export function hash(bytes) {
  return createHash('sha256').update(bytes).digest('hex').slice(0, 16);
}

export class Record {
  constructor(folder) {
    this.path = path.join(folder, 'record.txt');
    this.startedAt = performance.now();
    writeFileSync(this.path, '');
  }

  write(what, fields = {}) {
    const ms = Math.round(performance.now() - this.startedAt);
    appendFileSync(this.path, `${JSON.stringify({ ms, what, ...fields })}\n`);
  }
}
