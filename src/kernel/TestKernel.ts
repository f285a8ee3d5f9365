/**
 * A kernel for tests: manual clock, captured log lines, chosen plug-ins.
 */
import { ManualClock, settingsSchema, type Settings } from '../core';
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
      settings: settingsSchema.parse({
        vmId: 'entry-1',
        dataCentre: 'brisbane',
        region: 'seq',
        callerAddress: '127.0.0.1:0',
        peerAddress: '127.0.0.1:0',
        operatorAddress: '127.0.0.1:0',
        configurationUrl: 'http://127.0.0.1:9',
        vmListUrl: 'http://127.0.0.1:9',
        fleetKey: 'test-fleet-key-0001',
        ...settings,
      }),
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
