/**
 * `bramleyvane embedded`: a small deployment on loopback, nodes and stand-ins, in one process.
 */
import { createWriteStream } from 'node:fs';
import { Option, type Command } from 'commander';
import { CliCommand, EXIT_CODE_HELP, EXIT_CODES } from './CliCommand';
import { EmbeddedDeployment } from './embedded/EmbeddedDeployment';
import { EMBEDDED_LAYOUTS } from './embedded/EmbeddedLayout';
import { runExamples } from './embedded/runExamples';

interface EmbeddedOptions {
  readonly deployment: string;
  readonly log?: string;
  readonly examples?: boolean;
}

/** @internal */
export class EmbeddedCommand extends CliCommand {
  addTo(program: Command): void {
    const names = EMBEDDED_LAYOUTS.map(({ name }) => name);
    program
      .command('embedded')
      .description('run a small deployment on loopback, nodes and stand-ins, in one process')
      .addOption(
        new Option('--deployment <name>', 'layout and contract to use')
          .choices([...names])
          .default(names[0]),
      )
      .option('--log <file>', 'write the log lines of the nodes to a file')
      .option('--examples', 'make the example calls, report their outcomes and stop')
      .addHelpText('after', EXIT_CODE_HELP)
      .action(async (options: EmbeddedOptions) => this.run(options));
  }

  private async run(options: EmbeddedOptions): Promise<void> {
    const layout = EMBEDDED_LAYOUTS.find(({ name }) => name === options.deployment);
    if (!layout) return;
    const logFile = options.log ? createWriteStream(options.log) : undefined;
    const deployment = await EmbeddedDeployment.start(layout, (line) => logFile?.write(line));
    try {
      if (options.examples) await this.makeExampleCalls(deployment);
      else await this.waitForInterrupt(deployment);
    } finally {
      await deployment.stop();
      logFile?.end();
    }
  }

  private async makeExampleCalls(deployment: EmbeddedDeployment): Promise<void> {
    const outcomes = await runExamples(deployment);
    outcomes.forEach(({ text }) => this.print(text));
    if (!outcomes.every(({ isSuccessful }) => isSuccessful)) process.exitCode = EXIT_CODES.refused;
  }

  private async waitForInterrupt(deployment: EmbeddedDeployment): Promise<void> {
    deployment.callerUrls.forEach((url) => this.print(`callers:   ${url}`));
    deployment.operatorUrls.forEach((url) => this.print(`operators: ${url}`));
    this.print(`API key:   ${deployment.layout.apiKey}`);
    this.print('Stop with Ctrl-C.');
    await new Promise<void>((resolve) => {
      process.once('SIGINT', () => resolve());
      process.once('SIGTERM', () => resolve());
    });
  }
}
