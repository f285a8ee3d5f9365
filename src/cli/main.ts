/**
 * Entry point of the program.
 */
import { Command } from 'commander';
import '../defaultPlugins';
import { getFlagName, SETTING_NAMES, ServingError, settingsSchema } from '../core';
import { readSettings } from './readSettings';
import { serve } from './serve';

/** Exit codes, as documented in the help text. */
const EXIT_CODES = { usage: 2, failure: 1 } as const;

function createProgram(): Command {
  const program = new Command('bramleyvane').description(
    'Serves generations of unknown length on crowded engines.',
  );
  const serveCommand = program.command('serve').description('run one node');
  SETTING_NAMES.forEach((name) =>
    serveCommand.option(
      `${getFlagName(name)} <value>`,
      settingsSchema.unwrap().shape[name].description,
    ),
  );
  serveCommand.action(async (flags) => serve(readSettings(flags, process.env)));
  return program;
}

async function main(): Promise<void> {
  try {
    await createProgram().parseAsync();
    process.exit(0);
  } catch (thrown) {
    const error = ServingError.from(thrown);
    process.stderr.write(`${error.detail}\n`);
    process.exit(error.kind === 'invalid-settings' ? EXIT_CODES.usage : EXIT_CODES.failure);
  }
}

void main();
