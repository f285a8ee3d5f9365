/**
 * Entry point of the program.
 */
import { Command } from 'commander';
import { ServingError } from '../core';
import { CallCommand } from './CallCommand';
import { EXIT_CODE_HELP, EXIT_CODES, type CliCommand } from './CliCommand';
import { ContractCommand } from './ContractCommand';
import { EmbeddedCommand } from './EmbeddedCommand';
import { FrontCommand } from './FrontCommand';
import { ServeCommand } from './ServeCommand';
import { WhereCommand } from './WhereCommand';
import { WhyCommand } from './WhyCommand';

const COMMANDS: ReadonlyArray<CliCommand> = [
  new ServeCommand(),
  new FrontCommand(),
  new ContractCommand(),
  new WhyCommand(),
  new WhereCommand(),
  new CallCommand(),
  new EmbeddedCommand(),
];

async function main(): Promise<void> {
  const program = new Command('bramleyvane')
    .description('Serves generations of unknown length on crowded engines.')
    .addHelpText('after', EXIT_CODE_HELP)
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : EXIT_CODES.usage));
  COMMANDS.forEach((command) => command.addTo(program));
  try {
    await program.parseAsync();
    process.exit();
  } catch (thrown) {
    const error = ServingError.from(thrown);
    process.stderr.write(`${error.detail}\n`);
    process.exit(error.kind === 'invalid-settings' ? EXIT_CODES.usage : EXIT_CODES.refused);
  }
}

void main();
