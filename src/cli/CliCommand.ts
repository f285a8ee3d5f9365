/**
 * Base class of the program's commands, each of which adds itself to the commander program.
 */
import type { Command } from 'commander';

/** Exit codes, as the help text lists them. */
export const EXIT_CODES = {
  done: 0,
  refused: 1,
  usage: 2,
  outcomeUnknown: 3,
  incomplete: 4,
} as const;

export const EXIT_CODE_HELP = `
Exit codes:
  0  done
  1  refused or failed; nothing was run, or it may safely be repeated
  2  bad usage, settings or contract
  3  it is not known whether the call was run
  4  the answer is incomplete`;

/** @internal */
export abstract class CliCommand {
  abstract addTo(program: Command): void;

  protected print(text: string): void {
    process.stdout.write(`${text}\n`);
  }

  /** Writes progress and errors to stderr, apart from the output that other programs may read. */
  protected printDiagnostic(text: string): void {
    process.stderr.write(`${text}\n`);
  }
}
