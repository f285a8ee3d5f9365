/**
 * `bramleyvane front`: runs one forwarding node until SIGTERM.
 */
import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { parseFrontSettings, ServingError, SystemClock, type FrontSettings } from '../core';
import { Kernel, Log } from '../kernel';
import { FrontSettingsStore } from '../services';
import { reportUncaughtErrors } from './reportUncaughtErrors';
import { CliCommand, EXIT_CODE_HELP } from './CliCommand';

interface FrontFlags {
  readonly settingsFile: string;
}

class SettingsFile extends FrontSettingsStore {
  private current: FrontSettings;

  constructor(private readonly path: string) {
    super();
    this.current = this.read();
  }

  get settings(): FrontSettings {
    return this.current;
  }

  /** Rereads the file; an invalid file leaves the settings unchanged. */
  reload(log: Log): void {
    try {
      this.current = this.read();
      log.info('settings reloaded', { seeds: this.current.seeds });
    } catch (thrown) {
      log.error('settings not reloaded', { cause: thrown });
    }
  }

  private read(): FrontSettings {
    try {
      return parseFrontSettings(readFileSync(this.path, 'utf8'));
    } catch (thrown) {
      throw ServingError.from(thrown, 'invalid-settings');
    }
  }
}

/** @internal */
export class FrontCommand extends CliCommand {
  addTo(program: Command): void {
    program
      .command('front')
      .description('run one forwarding node; SIGTERM drains it, SIGHUP reloads its settings')
      .requiredOption('--settings-file <path>', 'settings of the node, as JSON')
      .addHelpText('after', EXIT_CODE_HELP)
      .action(async (flags: FrontFlags) => this.run(flags));
  }

  private async run({ settingsFile }: FrontFlags): Promise<void> {
    // Imported only here: the import registers plug-ins, and other commands use a different set.
    await import('../frontPlugins');
    const file = new SettingsFile(settingsFile);
    const { node } = file.settings;
    const log = new Log({ level: node.logLevel, fields: { vmId: node.vmId } });
    const kernel = new Kernel({ settings: node, clock: new SystemClock(), log });
    kernel.provide(FrontSettingsStore, file);
    const stopRequest = new Promise<void>((resolve) => {
      process.on('SIGTERM', () => resolve());
    });
    process.on('SIGHUP', () => file.reload(log));
    log.info('started', { incarnation: kernel.incarnation });
    await kernel.start();
    reportUncaughtErrors(kernel);
    await stopRequest;
    await kernel.drain();
    await kernel.dispose();
    log.info('stopped');
  }
}
