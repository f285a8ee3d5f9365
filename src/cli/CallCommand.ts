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

/** Tokens between two progress lines of a long generation. */
const PROGRESS_INTERVAL_TOKENS = 100;

/** @internal */
export class CallCommand extends CliCommand {
  addTo(program: Command): void {
    const call = program.command('call').description('make a call from the shell');
    call
      .command('generation')
      .description('run a generation and stream it; interrupted streams are resumed')
      .argument('<model>')
      .argument('<prompt>')
      .requiredOption('--url <url>', 'address of any node', process.env.BRAMLEYVANE_URL)
      .requiredOption('--key <key>', 'API key', process.env.BRAMLEYVANE_API_KEY)
      .option('--kind <name>', 'kind of work of the contract')
      .option('--max-tokens <number>', 'maximum length of the answer in tokens')
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
      .option('--data <json>', 'request body', '{}')
      .option('--once', 'request an idempotency key first, so that the call runs at most once')
      .option('--idempotency-key <key>', 'repeat an earlier call with its idempotency key')
      .addHelpText('after', EXIT_CODE_HELP)
      .action(async (service: string, path: string, options: CallOptions) =>
        this.callService(service, path, options),
      );
  }

  private async generate(model: string, prompt: string, options: CallOptions): Promise<void> {
    const client = new CallerClient([options.url], options.key);
    await client.discoverAddresses();
    let printedLength = 0;
    const body = {
      model,
      messages: [{ role: 'user', content: prompt }],
      ...(options.maxTokens ? { max_tokens: Number(options.maxTokens) } : {}),
    };
    const result = await client.generate(body, options.kind, ({ text, tokens, resumes }) => {
      process.stdout.write(text.slice(printedLength));
      printedLength = text.length;
      if (tokens % PROGRESS_INTERVAL_TOKENS === 0) {
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
    const response = await client.callService(service, path, kind, options.data, key);
    this.printDiagnostic(`request ${response.requestId}: status ${response.status}`);
    if (response.problem) this.reportProblem(response.problem);
    else this.print(response.body);
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
