/**
 * `bramleyvane call`: makes a call from the shell.
 */
import type { Command } from 'commander';
import { CallerClient, type CallerProblem } from './CallerClient';
import { CliCommand, EXIT_CODE_HELP, EXIT_CODES } from './CliCommand';

interface CallOptions {
  readonly url: string;
  readonly key: string;
  readonly kind?: string;
  readonly maxTokens?: string;
  readonly data: string;
  readonly once?: boolean;
  readonly idempotencyKey?: string;
}

/** Tokens between two lines of progress on long work. */
const PROGRESS_EVERY_TOKENS = 100;

/** @internal */
export class CallCommand extends CliCommand {
  addTo(program: Command): void {
    const call = program.command('call').description('make a call from the shell');
    call
      .command('generation')
      .description('run a generation and stream it; broken streams are resumed')
      .argument('<model>')
      .argument('<prompt>')
      .requiredOption('--url <url>', 'address of any node', process.env.BRAMLEYVANE_URL)
      .requiredOption('--key <key>', 'API key', process.env.BRAMLEYVANE_API_KEY)
      .option('--kind <name>', 'kind of work of the contract')
      .option('--max-tokens <number>', 'bound on the length of the answer')
      .addHelpText('after', EXIT_CODE_HELP)
      .action(async (model: string, prompt: string, options: CallOptions) =>
        this.generate(model, prompt, options),
      );
    call
      .command('service')
      .description('call a plain service')
      .argument('<service>')
      .argument('<path>', 'path at the service, starting with /')
      .requiredOption('--url <url>', 'address of any node', process.env.BRAMLEYVANE_URL)
      .requiredOption('--key <key>', 'API key', process.env.BRAMLEYVANE_API_KEY)
      .requiredOption('--kind <name>', 'kind of work of the contract')
      .option('--data <json>', 'body of the call', '{}')
      .option('--once', 'ask for an idempotency key first')
      .option('--idempotency-key <key>', 'repeat a call with the key that it had')
      .addHelpText('after', EXIT_CODE_HELP)
      .action(async (service: string, path: string, options: CallOptions) =>
        this.callService(service, path, options),
      );
  }

  private async generate(model: string, prompt: string, options: CallOptions): Promise<void> {
    const client = new CallerClient([options.url], options.key);
    await client.discoverAddresses();
    let written = 0;
    const body = {
      model,
      messages: [{ role: 'user', content: prompt }],
      ...(options.maxTokens ? { max_tokens: Number(options.maxTokens) } : {}),
    };
    const result = await client.generate(body, options.kind, ({ text, tokens, resumes }) => {
      process.stdout.write(text.slice(written));
      written = text.length;
      if (tokens % PROGRESS_EVERY_TOKENS === 0) {
        this.printDiagnostic(`\n${tokens} tokens so far, resumed ${resumes} times`);
      }
    });
    this.print('');
    this.printDiagnostic(
      `request ${result.requestId}: ${result.tokens} tokens, resumed ${result.resumes} times`,
    );
    if (result.isComplete) return;
    this.reportProblem(result.problem);
    if (result.tokens > 0) process.exitCode = EXIT_CODES.incomplete;
  }

  private async callService(service: string, path: string, options: CallOptions): Promise<void> {
    const client = new CallerClient([options.url], options.key);
    await client.discoverAddresses();
    const kind = options.kind ?? '';
    const key = options.idempotencyKey ?? (options.once ? await client.issueKey(kind) : undefined);
    if (key) this.printDiagnostic(`idempotency key ${key}`);
    const answer = await client.callService(service, path, kind, options.data, key);
    this.printDiagnostic(`request ${answer.requestId}: status ${answer.status}`);
    if (answer.problem) this.reportProblem(answer.problem);
    else this.print(answer.body);
  }

  private reportProblem(problem: CallerProblem | undefined): void {
    const { kind, run, reason, detail } = problem ?? {
      kind: 'outcome-unknown',
      run: 'unknown',
      reason: 'The stream ended early.',
    };
    this.printDiagnostic(`${kind} (${run}): ${reason} ${detail ?? ''}`);
    process.exitCode = run === 'unknown' ? EXIT_CODES.outcomeUnknown : EXIT_CODES.refused;
  }
}
