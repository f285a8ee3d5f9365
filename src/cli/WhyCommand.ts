/**
 * `bramleyvane why`: says in plain words why a request waited, slowed down or was refused.
 */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Command } from 'commander';
import { request } from 'undici';
import * as z from 'zod';
import { LogExplanation, type LogLine } from '../decisions';
import { CliCommand, EXIT_CODE_HELP, EXIT_CODES } from './CliCommand';

const responseSchema = z.object({ plainWords: z.array(z.string()) });

interface WhyOptions {
  readonly operatorUrl?: string;
  readonly log?: string;
}

/** Parses the JSON of a log line; collectors often put a time or a name before it. */
function parseLine(line: string): LogLine {
  try {
    return JSON.parse(line.slice(line.indexOf('{'))) as LogLine;
  } catch {
    return {};
  }
}

async function findInLog(file: string, requestId: string): Promise<ReadonlyArray<string>> {
  const explanation = new LogExplanation(requestId);
  for await (const line of createInterface({ input: createReadStream(file) })) {
    if (line.includes(requestId) || line.includes('"started"')) explanation.add(parseLine(line));
  }
  return explanation.getSentences();
}

async function queryNode(operatorUrl: string, requestId: string): Promise<ReadonlyArray<string>> {
  const path = `/v1/decisions/${encodeURIComponent(requestId)}`;
  const response = await request(new URL(path, operatorUrl));
  const parsed = responseSchema.safeParse(await response.body.json());
  return parsed.success ? parsed.data.plainWords : [];
}

/** @internal */
export class WhyCommand extends CliCommand {
  addTo(program: Command): void {
    program
      .command('why')
      .description('say why a request waited, slowed down or was refused')
      .argument('<request-id>', 'the x-request-id of the answer')
      .option('--operator-url <url>', 'operator address of any node [BRAMLEYVANE_OPERATOR_URL]')
      .option(
        '--log <file>',
        'file of collected log lines, for when the deciding node no longer exists',
      )
      .addHelpText('after', EXIT_CODE_HELP)
      .action(async (requestId: string, options: WhyOptions) => this.run(requestId, options));
  }

  private async run(requestId: string, options: WhyOptions): Promise<void> {
    const operatorUrl = options.operatorUrl ?? process.env.BRAMLEYVANE_OPERATOR_URL;
    if (!options.log && !operatorUrl) {
      this.printDiagnostic('Specify --operator-url or --log.');
      process.exitCode = EXIT_CODES.usage;
      return;
    }
    const lines = options.log
      ? await findInLog(options.log, requestId)
      : await queryNode(operatorUrl ?? '', requestId);
    lines.forEach((line) => this.print(line));
    if (lines.length > 0) return;
    this.printDiagnostic(
      `No decisions found for ${requestId}; search the collected logs with --log.`,
    );
    process.exitCode = EXIT_CODES.refused;
  }
}
