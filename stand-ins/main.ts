/**
 * Starts one stand-in as a process: `node dist/stand-ins.cjs <type> --port 0 [--options <json>]`.
 *
 * Prints one JSON line with the URL once the server listens, and runs until SIGTERM or SIGINT.
 */
import { Argument, Command } from 'commander';
import { findStandIn, listStandInTypes, type StandInOptions } from '.';

interface Flags {
  readonly port: string;
  readonly options: string;
}

async function run(type: string, flags: Flags): Promise<void> {
  const options: StandInOptions = JSON.parse(flags.options);
  const standIn = await findStandIn(type)?.start({ ...options, port: Number(flags.port) });
  if (!standIn) throw new Error(`unknown stand-in type ${type}`);
  process.stdout.write(`${JSON.stringify({ url: standIn.url })}\n`);
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
  await standIn.stop();
}

async function main(): Promise<void> {
  await new Command('stand-ins')
    .addArgument(new Argument('<type>', 'stand-in to start').choices([...listStandInTypes()]))
    .option('--port <port>', 'port on 127.0.0.1; 0 lets the system choose', '0')
    .option('--options <json>', 'options of the stand-in as JSON', '{}')
    .action(run)
    .parseAsync();
  process.exit(0);
}

void main();
