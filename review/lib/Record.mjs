/**
 * Record of a run: one line for each thing that was sent, answered or run, with the time since the
 * start of the run.
 */
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

export class Record {
  startedAtMs = performance.now();

  lines = [];

  constructor(file) {
    this.file = file;
  }

  get nowMs() {
    return performance.now() - this.startedAtMs;
  }

  add(text) {
    this.lines.push(`${(this.nowMs / 1_000).toFixed(3).padStart(8)} s  ${text}`);
  }

  save() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}
