/**
 * `bramleyvane serve`: runs one node until SIGTERM or SIGINT.
 */
import type { Command } from 'commander';
import {
  getFlagName,
  getVariableName,
  SETTING_NAMES,
  settingsSchema,
  SystemClock,
  type SettingName,
  type Settings,
} from '../core';
import { Kernel, Log } from '../kernel';
import { reportUncaughtErrors } from './reportUncaughtErrors';
import { CliCommand, EXIT_CODE_HELP } from './CliCommand';
import { readSettings } from './readSettings';

const SIGINT_EXIT_CODE = 130;

/** @internal */
export class ServeCommand extends CliCommand {
  addTo(program: Command): void {
    const command = program
      .command('serve')
      .description('run one node; SIGTERM drains it without interrupting requests')
      .addHelpText('after', EXIT_CODE_HELP);
    SETTING_NAMES.forEach((name) => {
      const { description } = settingsSchema.unwrap().shape[name];
      command.option(`${getFlagName(name)} <value>`, `${description} [${getVariableName(name)}]`);
    });
    command.action(async (flags: Readonly<Partial<Record<SettingName, string>>>) =>
      this.run(readSettings(flags, process.env)),
    );
  }

  private async run(settings: Settings): Promise<void> {
    // Imported only here: the import registers plug-ins, and other commands use a different set.
    await import('../defaultPlugins');
    const log = new Log({ level: settings.logLevel, fields: { vmId: settings.vmId } });
    const kernel = new Kernel({ settings, clock: new SystemClock(), log });
    const stopRequest = new Promise<void>((resolve) => {
      // A second SIGTERM has no effect, because draining interrupts no requests.
      process.on('SIGTERM', () => resolve());
      process.on('SIGINT', () => {
        // A second SIGINT comes from a person at a terminal who does not want to wait.
        if (kernel.state === 'draining') process.exit(SIGINT_EXIT_CODE);
        resolve();
      });
    });
    await kernel.start();
    reportUncaughtErrors(kernel);
    await stopRequest;
    await kernel.drain();
    await kernel.dispose();
  }
}
