/**
 * `bramleyvane where`: says where a request would go now, and why, without sending it.
 */
import type { Command } from 'commander';
import { request } from 'undici';
import * as z from 'zod';
import { CliCommand, EXIT_CODE_HELP, EXIT_CODES } from './CliCommand';

const responseSchema = z.looseObject({
  plainWords: z.array(z.string()),
  refused: z.unknown().optional(),
});

interface WhereOptions {
  readonly host: string;
  readonly path: string;
  readonly key?: string;
  readonly customer?: string;
  readonly promptTokens?: number;
  readonly maxOutputTokens?: number;
  readonly operatorUrl?: string;
  readonly json?: boolean;
}

/** @internal */
export class WhereCommand extends CliCommand {
  addTo(program: Command): void {
    program
      .command('where')
      .description('say where a request would go now, and why, without sending it')
      .requiredOption('--host <host>', 'host of the request')
      .requiredOption('--path <path>', 'path of the request')
      .option('--key <key>', 'API key of the request')
      .option('--customer <name>', 'customer, instead of a key')
      .option('--prompt-tokens <count>', 'tokens of its prompt; none for a call', Number)
      .option('--max-output-tokens <count>', 'most tokens of its output', Number)
      .option('--operator-url <url>', 'operator address of a node [BRAMLEYVANE_OPERATOR_URL]')
      .option('--json', 'print the whole answer as JSON')
      .addHelpText('after', EXIT_CODE_HELP)
      .action(async (options: WhereOptions) => this.run(options));
  }

  private async run({ operatorUrl, json, key, ...described }: WhereOptions): Promise<void> {
    const url = operatorUrl ?? process.env.BRAMLEYVANE_OPERATOR_URL;
    if (url === undefined) {
      this.printDiagnostic('Specify --operator-url.');
      process.exitCode = EXIT_CODES.usage;
      return;
    }
    const response = await request(new URL('/v1/where', url), {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ...described, apiKey: key }),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      this.printDiagnostic(`The node answered ${response.statusCode}: ${text}`);
      process.exitCode = EXIT_CODES.usage;
      return;
    }
    const answer = responseSchema.parse(JSON.parse(text));
    if (json) this.print(JSON.stringify(answer, undefined, 2));
    else answer.plainWords.forEach((line) => this.print(line));
    if (answer.refused !== undefined) process.exitCode = EXIT_CODES.refused;
  }
}
