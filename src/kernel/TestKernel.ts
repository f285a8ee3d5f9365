/**
 * A kernel for tests, with a manual clock, captured log lines and selected plug-ins.
 */
import { ManualClock, type Settings } from '../core';
import { createTestSettings } from './createTestSettings';
import { Kernel } from './Kernel';
import { Log, type LogFields } from './Log';
import type { PluginClass } from './Plugin';

/** @internal */
export class TestKernel extends Kernel {
  readonly manualClock: ManualClock;

  private readonly lines: string[];

  constructor(plugins: ReadonlyArray<PluginClass>, settings: Partial<Settings> = {}) {
    const clock = new ManualClock();
    const lines: string[] = [];
    super({
      settings: createTestSettings(settings),
      clock,
      log: new Log({ level: 'debug', fields: {}, write: (line) => lines.push(line) }),
      plugins,
    });
    this.manualClock = clock;
    this.lines = lines;
  }

  get logLines(): ReadonlyArray<LogFields> {
    return this.lines.map((line) => JSON.parse(line) as LogFields);
  }
}
